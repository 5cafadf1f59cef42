// Defines the validation of the JSON body of a completion or chat completion.
// The few fields that the product uses are read and bounded; all others reach
// the engine unchanged.
#ifndef FLAMINGOSHUNT_CALLER_COMPLETION_BODY_H_
#define FLAMINGOSHUNT_CALLER_COMPLETION_BODY_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "base/ids.h"
#include "caller/messages.h"

namespace flamingoshunt::caller {

struct completion_body {
  base::entry_name entry;
  std::string prompt;  ///< Canonical text, used only for prefix hashes.
  std::uint64_t prompt_tokens = 0;
  std::uint64_t max_tokens = 0;
  bool stream = false;
};

/// @throws request_error (400, or 413 for a prompt over the bound) that names
///         the invalid fields.
completion_body ParseCompletionBody(std::string_view body, call_shape shape);

}  // namespace flamingoshunt::caller

#endif  // FLAMINGOSHUNT_CALLER_COMPLETION_BODY_H_
