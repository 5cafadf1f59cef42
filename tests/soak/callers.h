// Defines the callers of a soak: each keeps its connection while the node does,
// sends one request after the other and checks each answer to its end.
#ifndef FLAMINGOSHUNT_TESTS_SOAK_CALLERS_H_
#define FLAMINGOSHUNT_TESTS_SOAK_CALLERS_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "base/random.h"
#include "tests/soak/processes.h"

namespace flamingoshunt::soak {

using steady_time = std::chrono::steady_clock::time_point;

/// One kind of request, with its share of all.
struct request_kind {
  const char* name;
  const char* path;
  const char* model;  ///< Empty for a plain service.
  bool stream;
  bool repeatable;
  double share;
};

/// What became of one request.
struct sent_request {
  std::string id;
  const request_kind* kind = nullptr;
  std::string node;
  steady_time sent_at{};
  steady_time ended_at{};
  bool was_sent = false;  ///< Completely written.
  int status = 0;         ///< 0 without an answer.
  std::size_t bytes = 0;  ///< Of the answer's body.
  bool complete = false;  ///< The answer ended as its framing says.
  bool valid = false;     ///< It is the one that replicas give to this request.
  std::string detail;     ///< What the connection said when it ended early.
};

class callers {
 public:
  callers(processes& deployment, std::uint64_t seed);

  /// Starts @p count callers that go on until Stop.
  void Start(int count);
  /// Returns when all of them have their last answer.
  void Stop();

  const std::vector<sent_request>& requests() const { return requests_; }

  /// Sends one request of @p kind on a connection of its own.
  sent_request CallOnce(const request_kind& kind, const node_process& node);

  static const std::vector<request_kind>& Kinds();

 private:
  void Run(int caller);
  void FollowReadiness();
  const node_process* ChooseNode();
  const request_kind& ChooseKind();
  /// @return whether the connection can be used again.
  bool Send(runtime::http_connection& connection, sent_request& request);

  processes& deployment_;
  base::random_engine random_;
  std::vector<sent_request> requests_;
  std::vector<std::string> ready_;  ///< Names of nodes that take callers.
  int running_ = 0;
  bool stopping_ = false;
  int next_id_ = 0;
};

}  // namespace flamingoshunt::soak

#endif  // FLAMINGOSHUNT_TESTS_SOAK_CALLERS_H_
