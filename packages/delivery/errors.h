// Defines the errors of the delivery package.
#ifndef FLAMINGOSHUNT_DELIVERY_ERRORS_H_
#define FLAMINGOSHUNT_DELIVERY_ERRORS_H_

#include "base/errors.h"

namespace flamingoshunt::delivery {

/// A delivery setting is out of range.
class settings_error : public base::user_error {
 public:
  using base::user_error::user_error;
};

}  // namespace flamingoshunt::delivery

#endif  // FLAMINGOSHUNT_DELIVERY_ERRORS_H_
