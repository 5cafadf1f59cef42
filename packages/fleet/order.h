// Defines the orders that replicas take and what their answers mean.
#ifndef FLAMINGOSHUNT_FLEET_ORDER_H_
#define FLAMINGOSHUNT_FLEET_ORDER_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "base/ids.h"

namespace flamingoshunt::fleet {

/// Become a member of a group; the first member is the head.
struct join_group {
  std::string group;
  base::epoch epoch;
  std::string model;
  std::vector<base::instance_id> members;
};

/// To a ready head: start serving.
struct open_group {
  std::string group;
  base::epoch epoch;
};

enum class close_mode {
  kDrain,  ///< Requests that run are completed.
  kAbort   ///< Requests that run are broken off.
};

/// To an open head: stop serving.
struct close_group {
  std::string group;
  base::epoch epoch;
  close_mode mode = close_mode::kDrain;
};

/// Stop being a member, at once.
struct leave_group {
  std::string group;
  base::epoch epoch;
};

/// Copy a model's weights to the host, beside whatever runs.
struct stage_model {
  std::string model;
};

using order_body =
    std::variant<join_group, open_group, close_group, leave_group, stage_model>;

using order_id = base::number_id<struct replica_order_tag>;

struct order {
  order_id id;
  base::instance_id to;
  std::string address;
  std::uint64_t term = 0;  ///< Of the acting node.
  /// Rises with the term and with every order, so that an order which is
  /// carried out late meets a replica that has seen a higher one.
  std::uint64_t fence = 0;
  order_body body;
};

enum class order_result {
  kAccepted,       ///< Accepted; the report tells when it is done.
  kDone,           ///< The state holds already.
  kStateConflict,  ///< Doesn't fit the replica's state.
  kFenced,         ///< A higher fence, or a later epoch, was seen.
  kOtherInstance,  ///< Another replica has the address.
  kRefused,        ///< Malformed, or not an engine.
  kNoAnswer        ///< May be carried out, now or later.
};

/// @return the name used in logs.
const char* NameOf(order_result result);
const char* NameOf(const order_body& body);

}  // namespace flamingoshunt::fleet

#endif  // FLAMINGOSHUNT_FLEET_ORDER_H_
