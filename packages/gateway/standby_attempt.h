// Defines the second attempt of a request whose first one is silent. Both run
// until one of them makes progress, so a replica's silence never ends an
// answer: the first attempt is abandoned only for one that has begun to answer.
//
// Load pattern: all replicas of a model fall silent for a second and continue.
// Every stream then finds its replica stalled at the same time, and the others
// are silent, full or beyond the retry budget.
#ifndef FLAMINGOSHUNT_GATEWAY_STANDBY_ATTEMPT_H_
#define FLAMINGOSHUNT_GATEWAY_STANDBY_ATTEMPT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "gateway/entry.h"

namespace flamingoshunt::gateway {

/// Where a standby attempt goes, and when it is ready.
struct standby_order {
  /// The replica, with a slot that the attempt owns; empty for a peer.
  std::optional<grant> granted;
  std::optional<peer_node> peer;  ///< Empty for a replica.
  std::string service;
  base::request_id request;
  base::time_point deadline{};
  bool stream = false;  ///< Ready with its first event, else with its head.
  std::optional<std::uint64_t> resume_after;
};

/// How far a standby attempt has come.
enum class standby_state {
  kRunning,
  kReady,    ///< The head and, of a stream, the first event are there.
  kNotSent,  ///< Failed: no byte of the request was sent.
  kNotRun,   ///< Failed: the replica confirms that it did not run.
  kFailed,   ///< Failed: the replica answered with an error.
  kBroken    ///< Failed: cut off, or not a valid answer.
};

/// Runs in a fiber of its own, which may outlive the session for a moment.
class standby_attempt : public std::enable_shared_from_this<standby_attempt> {
 public:
  /// @param settled called once, when the state is no longer kRunning, unless
  ///        Cancel came before.
  standby_attempt(entry& owner,
                  standby_order order,
                  std::function<void(standby_attempt&)> settled);

  /// Sends @p message from a fiber of its own.
  void Start(runtime::http_request message);

  /// Ends the attempt and gives its slot back; harmless when it has ended.
  void Cancel();

  standby_state state() const { return state_; }
  /// @return whether the replica may have received the request.
  bool was_sent() const { return was_sent_; }
  /// @return whether no connection was established.
  bool connect_failed() const { return connect_failed_; }
  /// @return whether the replica ended the connection, or refused it.
  bool closed_by_replica() const { return closed_by_replica_; }
  /// @return whether it failed for want of an answer in time.
  bool timed_out() const { return timed_out_; }
  const standby_order& order() const { return order_; }
  base::time_point started_at() const { return started_at_; }
  base::time_point sent_at() const { return sent_at_; }
  const std::string& detail() const { return detail_; }

  /// Only when ready.
  const runtime::http_response_head& head() const { return head_; }
  /// @return the connection, whose head has been read. Only when ready.
  std::unique_ptr<runtime::http_connection> TakeConnection() {
    return std::move(connection_);
  }
  /// @return the bytes of the body that were read already. Only when ready.
  std::string TakeFirstBytes() { return std::move(first_bytes_); }

  /// Gives the slot back. @param complete see dispatcher::Release.
  void ReleaseSlot(bool complete);

 private:
  void Run();
  standby_state RunSteps();
  bool Connect();
  standby_state ReadAnswer();
  standby_state ReadReplicaHead();
  standby_state ReadFirstEvent();
  base::duration RemainingTime() const;
  void Settle(standby_state state);

  entry& entry_;
  standby_order order_;
  runtime::http_request message_;
  std::function<void(standby_attempt&)> settled_;
  std::optional<entry::slot_claim> claim_;
  std::unique_ptr<runtime::http_connection> connection_;
  runtime::http_response_head head_;
  std::string first_bytes_;
  standby_state state_ = standby_state::kRunning;
  bool cancelled_ = false;
  bool was_sent_ = false;
  bool connect_failed_ = false;
  bool closed_by_replica_ = false;
  bool timed_out_ = false;
  base::time_point started_at_{};
  base::time_point sent_at_{};
  std::string detail_;
};

}  // namespace flamingoshunt::gateway

#endif  // FLAMINGOSHUNT_GATEWAY_STANDBY_ATTEMPT_H_
