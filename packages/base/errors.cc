#include "base/errors.h"

#include <string_view>

namespace flamingoshunt::base {

void ThrowInternalError(const char* condition,
                        const std::string& value,
                        const char* file,
                        int line) {
  std::string_view name(file);
  if (const auto slash = name.rfind('/'); slash != std::string_view::npos)
    name.remove_prefix(slash + 1);
  std::ostringstream message;
  message << name << ':' << line << ": invariant broken: " << condition
          << ", value: " << value;
  throw internal_error(message.str());
}

}  // namespace flamingoshunt::base
