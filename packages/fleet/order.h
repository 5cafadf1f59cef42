// Defines the orders to replicas and the meaning of their answers.
#ifndef FLAMINGOSHUNT_FLEET_ORDER_H_
#define FLAMINGOSHUNT_FLEET_ORDER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"

namespace flamingoshunt::fleet {

/// Joins a group as a member; the first member is the head.
struct join_group {
  std::string group;
  base::epoch epoch;
  std::string model;
  std::vector<base::instance_id> members;
};

/// Tells a ready head to start serving.
struct open_group {
  std::string group;
  base::epoch epoch;
};

enum class close_mode {
  kDrain,  ///< Completes running requests.
  kAbort   ///< Cuts off running requests.
};

/// Tells an open head to stop serving.
struct close_group {
  std::string group;
  base::epoch epoch;
  close_mode mode = close_mode::kDrain;
};

/// Ends the membership in a group, at once.
struct leave_group {
  std::string group;
  base::epoch epoch;
};

/// Copies a model's weights to the host in the background.
struct stage_model {
  std::string model;
};

using order_body =
    std::variant<join_group, open_group, close_group, leave_group, stage_model>;

using order_id = base::number_id<struct replica_order_tag>;

/// An order to one replica.
struct order {
  order_id id;
  base::instance_id to;  ///< The replica to execute it.
  std::string address;
  std::uint64_t term = 0;  ///< Of the leader.
  /// Fencing token: increases with the term and with every order, so that a
  /// replica rejects a delayed order after a later one.
  std::uint64_t fence = 0;
  order_body body;
  /// When the replica last reported its group, or accepted to leave one; epoch
  /// if the sender knows its group from the platform's list only.
  base::time_point membership_known_at{};
  /// Orders that the replica had begun as of membership_known_at, as far as the
  /// sender knows.
  std::optional<std::uint64_t> orders_known = {};
  /// Start of the process that the order is for.
  std::uint64_t started_ms = 0;
  /// Whether the order presumes the state as of then: a replica that has begun
  /// another order since rejects it as a conflict.
  bool presumes_known_state = false;
};

/// A replica's answer to an order. NameOf gives the names in logs.
enum class order_result {
  kAccepted,       ///< In progress; the report shows completion.
  kDone,           ///< The replica is already in that state.
  kStateConflict,  ///< Not allowed in the replica's state.
  kFenced,         ///< It has seen a higher fence or epoch.
  kOtherInstance,  ///< Another replica uses the address.
  kRefused,        ///< Malformed, or not an engine.
  kNoAnswer        ///< May be executed, now or later.
};

/// @return the name used in logs.
const char* NameOf(order_result result);
const char* NameOf(const order_body& body);

}  // namespace flamingoshunt::fleet

#endif  // FLAMINGOSHUNT_FLEET_ORDER_H_
