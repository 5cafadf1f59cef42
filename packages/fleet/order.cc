#include "fleet/order.h"

#include <array>

namespace flamingoshunt::fleet {

const char* NameOf(order_result result) {
  constexpr std::array<const char*, 7> kNames{
      "begun",          "done",    "unfit",    "fenced",
      "other_instance", "refused", "no_answer"};
  return kNames.at(static_cast<std::size_t>(result));
}

const char* NameOf(const order_body& body) {
  constexpr std::array<const char*, 5> kNames{"join", "open", "close", "leave",
                                              "stage"};
  return kNames.at(body.index());
}

}  // namespace flamingoshunt::fleet
