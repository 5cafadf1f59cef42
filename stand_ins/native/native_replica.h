// Stands in for a replica of the users' platform: it registers in the store,
// executes orders subject to fencing tokens and epochs, streams events as the
// head of an open group, or answers as a plain service.
#ifndef FLAMINGOSHUNT_STAND_INS_NATIVE_NATIVE_REPLICA_H_
#define FLAMINGOSHUNT_STAND_INS_NATIVE_NATIVE_REPLICA_H_

#include <boost/json.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "runtime/http_server.h"
#include "stand_ins/native/entry_registry.h"

namespace flamingoshunt::stand_ins {

struct native_replica_options {
  std::string id;
  std::string service;
  std::string zone = "z1";
  std::string domain;  ///< Empty for a plain service.
  int slots = 26;
  /// Addresses at which it listens; each can be cut off by itself, as if some
  /// nodes were partitioned from the replica.
  int gates = 1;
  /// Durations of the engine, short to keep tests fast.
  base::duration join_time = std::chrono::milliseconds(30);
  base::duration event_interval = std::chrono::milliseconds(10);
  std::size_t answer_bytes = 0;  ///< At least, of a plain service's answers.
  std::uint64_t started_ms = 1790000000000;  ///< Unix time, in ms.
};

/// What callers of an address that is cut off see.
enum class cut_kind {
  kSilent,  ///< Connections hang, new ones as well.
  kReset    ///< Connections end, and new ones are refused.
};

class native_replica {
 public:
  native_replica(boost::asio::io_context& loop,
                 native_replica_options options,
                 entry_registry& entries);

  void Start();

  /// Simulates a crash: connections are cut, and the store entry remains.
  void Crash();

  /// Cuts the gate with index @p gate off, or ends that.
  void Cut(int gate, cut_kind kind);
  void Reconnect(int gate);

  /// Marks its entry as draining and continues to serve.
  void Drain();

  /// Leaves without notice: removes its entry and continues to serve.
  void Unregister();

  /// Writes its entry again, with a change that is of no consequence.
  void RenewEntry();

  const std::string& id() const { return options_.id; }
  bool open() const { return state_ == "open"; }
  const std::string& model() const { return model_; }
  /// @return whether it is in a group.
  bool is_member() const { return !state_.empty(); }
  std::string address(int gate = 0) const {
    return gates_[static_cast<std::size_t>(gate)]->address;
  }

  /// How often each request was executed here, by request id.
  const std::map<std::string, int>& runs() const { return runs_; }
  bool says_leaving = false;  ///< All answers say that it is leaving.
  bool stalled = false;       ///< Streams produce no events.
  bool frozen = false;        ///< Accepts connections and does nothing else.
  bool shedding = false;      ///< Rejects requests as not executed.
  /// Rejects so many requests more, each with Retry-After.
  int pauses_to_name = 0;
  std::string pause_seconds;  ///< Value of that Retry-After.
  /// Id of a prompt part; a request with it crashes the replica's process when
  /// its answer begins. The next process takes over at once.
  std::string crashing_part;
  int crashes() const { return crashes_; }

 private:
  struct gate_state {
    std::string address;
    std::unique_ptr<runtime::http_server> server;
    bool silent = false;
    /// Keeps the port from others while the gate is cut off.
    std::unique_ptr<runtime::tcp::acceptor> reserved;
    /// Listens with a full queue while the gate is silent.
    std::unique_ptr<runtime::tcp::acceptor> blocked;
    std::vector<std::unique_ptr<runtime::tcp::socket>> queued;
  };

  void Open(gate_state& gate, const std::string& address);
  void Handle(gate_state& gate, runtime::http_exchange& exchange);
  void Pass(const gate_state& gate) const;
  void WaitWhileFrozen() const;
  runtime::http_fields WithLeaving(runtime::http_fields fields) const;
  void HandleOrder(runtime::http_exchange& exchange);
  int Execute(const boost::json::object& order);
  void Serve(const gate_state& gate, runtime::http_exchange& exchange);
  void StreamEvents(const gate_state& gate, runtime::http_exchange& exchange);
  boost::json::object EncodeState() const;
  boost::json::object EncodeRuns() const;
  void Publish();

  native_replica_options options_;
  entry_registry& entries_;
  boost::asio::io_context& loop_;
  std::vector<std::unique_ptr<gate_state>> gates_;
  /// Of gates that were cut off; their connections may still be open.
  std::vector<std::unique_ptr<runtime::http_server>> retired_;
  bool crashed_ = false;
  int crashes_ = 0;  ///< By @c crashing_part.
  bool draining_ = false;
  std::uint64_t order_count_ = 0;
  std::uint64_t renewals_ = 0;  ///< Of its entry.
  std::uint64_t highest_fence_ = 0;
  std::string group_;
  std::uint64_t epoch_ = 0;
  std::string model_;
  std::vector<std::string> members_;
  std::string state_;  ///< Of its group membership; empty if none.
  std::map<std::string, int> runs_;
};

}  // namespace flamingoshunt::stand_ins

#endif  // FLAMINGOSHUNT_STAND_INS_NATIVE_NATIVE_REPLICA_H_
