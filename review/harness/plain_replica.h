// Stands in for a replica of a plain service: it registers in the store, runs
// each request that is meant for it, and notes what it ran and when.
#ifndef FLAMINGOSHUNT_REVIEW_HARNESS_PLAIN_REPLICA_H_
#define FLAMINGOSHUNT_REVIEW_HARNESS_PLAIN_REPLICA_H_

#include <chrono>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "review/harness/platform_store.h"
#include "runtime/http_server.h"

namespace flamingoshunt::review {

using steady_time = std::chrono::steady_clock::time_point;

struct plain_replica_options {
  std::string id;
  std::string service = "room-ops";
  std::string zone = "z1";
  int slots = 6;
  std::chrono::milliseconds work{30};
  /// Idle connections are closed after this; whole seconds.
  std::chrono::seconds idle{15};
};

struct run {
  std::string request;
  std::string tenant;
  steady_time at;
};

class plain_replica {
 public:
  plain_replica(boost::asio::io_context& loop,
                plain_replica_options options,
                platform_store& store);

  void Start();
  /// Reports that it is draining; the store's answer is the acknowledgement.
  void Drain();
  /// Ends: nothing listens any more, and the entry is removed.
  void Exit();

  const std::string& id() const { return options_.id; }
  /// The body of its answer to @p request.
  std::string BodyFor(const std::string& request) const;
  std::string address() const { return address_; }
  steady_time draining_since() const { return draining_since_; }
  const std::vector<run>& runs() const { return runs_; }
  /// Share of the answers after which it sends additional bytes: the answer
  /// once more, without the id of a request.
  double spoils = 0;
  std::chrono::milliseconds spoils_after{60};
  std::size_t spoiled() const { return spoiled_; }
  std::size_t connections() const { return server_->connections(); }

 private:
  void Handle(runtime::http_exchange& exchange);
  void Publish();

  plain_replica_options options_;
  platform_store& store_;
  std::unique_ptr<runtime::http_server> server_;
  std::string address_;
  bool draining_ = false;
  steady_time draining_since_{};
  std::vector<run> runs_;
  std::size_t spoiled_ = 0;
  std::mt19937 random_{1};
};

}  // namespace flamingoshunt::review

#endif  // FLAMINGOSHUNT_REVIEW_HARNESS_PLAIN_REPLICA_H_
