// Defines the two roots of all errors: user_error for what a caller, operator
// or settings file got wrong, and internal_error for a broken invariant of our
// own. Each slice derives its own errors from these and turns those of the
// layer below into its own. Both print the offending value.
#ifndef FLAMINGOSHUNT_BASE_ERRORS_H_
#define FLAMINGOSHUNT_BASE_ERRORS_H_

#include <sstream>
#include <stdexcept>
#include <string>

namespace flamingoshunt::base {

/// Something outside the program is wrong; the message is fit for its author.
class user_error : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// An invariant of the program does not hold; the message is for developers.
class internal_error : public std::logic_error {
 public:
  using std::logic_error::logic_error;
};

/// Throws internal_error naming the condition, the value and the place.
[[noreturn]] void ThrowInternalError(const char* condition,
                                     const std::string& value,
                                     const char* file,
                                     int line);

/// @return @p value as the text that error messages print.
template <class Value>
std::string Describe(const Value& value) {
  std::ostringstream out;
  out << value;
  return out.str();
}

}  // namespace flamingoshunt::base

// Throws internal_error with the printed value unless the condition holds.
#define FLAMINGOSHUNT_INVARIANT(condition, value)                       \
  do {                                                                  \
    if (!(condition))                                                   \
      ::flamingoshunt::base::ThrowInternalError(                        \
          #condition, ::flamingoshunt::base::Describe(value), __FILE__, \
          __LINE__);                                                    \
  } while (false)

#endif  // FLAMINGOSHUNT_BASE_ERRORS_H_
