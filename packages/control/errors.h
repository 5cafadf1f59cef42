// Defines the exit codes of flamingoshuntctl and the errors that lead to them.
#ifndef FLAMINGOSHUNT_CONTROL_ERRORS_H_
#define FLAMINGOSHUNT_CONTROL_ERRORS_H_

#include <string>

#include "base/errors.h"

namespace flamingoshunt::control {

enum class exit_code {
  kOk = 0,
  kFailure = 1,      ///< Not found, or anything that has no code of its own.
  kInvalid = 2,      ///< Wrong usage, or a document with problems.
  kConflict = 3,     ///< Somebody else edited first.
  kUnavailable = 4,  ///< The platform or the nodes could not be reached.
  kWaitTimeout = 5   ///< Applied, but not confirmed by all nodes in time.
};

/// An error that ends the command with its exit code.
class command_error : public base::user_error {
 public:
  command_error(exit_code code, const std::string& message)
      : base::user_error(message), code_(code) {}
  exit_code code() const { return code_; }

 private:
  exit_code code_;
};

}  // namespace flamingoshunt::control

#endif  // FLAMINGOSHUNT_CONTROL_ERRORS_H_
