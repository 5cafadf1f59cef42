// Defines the exception that the steps of request validation throw. It carries
// the problem for the caller and never leaves this package.
#ifndef FLAMINGOSHUNT_CALLER_ERRORS_H_
#define FLAMINGOSHUNT_CALLER_ERRORS_H_

#include <string>
#include <utility>

#include "base/errors.h"
#include "caller/messages.h"

namespace flamingoshunt::caller {

class request_error : public base::user_error {
 public:
  request_error(int status, std::string type, const std::string& detail)
      : base::user_error(detail),
        problem_{.status = status, .type = std::move(type), .detail = detail} {}

  const caller::problem& problem() const { return problem_; }

 private:
  caller::problem problem_;
};

}  // namespace flamingoshunt::caller

#endif  // FLAMINGOSHUNT_CALLER_ERRORS_H_
