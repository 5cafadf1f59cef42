// A small deployment for the cases: stand-ins for the platform, replicas and
// callers on one thread of this process, and entry nodes as processes that are
// started with the run line of deploy/system.toml.
#ifndef FLAMINGOSHUNT_REVIEW_HARNESS_DEPLOYMENT_H_
#define FLAMINGOSHUNT_REVIEW_HARNESS_DEPLOYMENT_H_

#include <sys/types.h>

#include <boost/json.hpp>

#include <chrono>
#include <fstream>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "review/harness/plain_replica.h"
#include "review/harness/platform_store.h"
#include "runtime/http_client.h"

namespace flamingoshunt::review {

struct caller_answer {
  int status = 0;  ///< 0 without an answer.
  std::string type;
  std::string body;
  bool complete = false;
};

/// A request of a caller that keeps its channel.
struct kept_call {
  std::string id;
  std::size_t node = 0;
  int before_on_channel = 0;  ///< Requests answered on the channel before.
  bool sent = false;          ///< The whole request was written.
  steady_time sent_at{};
  steady_time ended_at{};  ///< Answered, closed or given up.
  caller_answer answer;
};

/// The exit codes of a case.
constexpr int kRuleHeld = 0;
constexpr int kRuleBroken = 1;
constexpr int kCouldNotRun = 2;

class deployment {
 public:
  explicit deployment(boost::asio::io_context& loop);
  ~deployment();
  deployment(const deployment&) = delete;
  deployment& operator=(const deployment&) = delete;

  platform_store& store() { return store_; }
  plain_replica& AddReplica(const plain_replica_options& options);
  plain_replica& replica(std::size_t index) { return *replicas_.at(index); }
  std::size_t replicas() const { return replicas_.size(); }

  /// Adds an entry node; it isn't started yet.
  void AddNode();
  std::size_t nodes() const { return nodes_.size(); }
  void StartNode(std::size_t index);
  void Signal(std::size_t index, int signal);
  /// @return whether the process has ended, other than by KillNode.
  bool HasEnded(std::size_t index);
  /// Ends the process at once.
  void KillNode(std::size_t index);
  /// Where its callers connect.
  const std::string& caller(std::size_t index) const {
    return nodes_.at(index).caller;
  }
  pid_t pid(std::size_t index) const { return nodes_.at(index).pid; }
  /// How the process that has ended did so.
  std::string ending(std::size_t index) const {
    return nodes_.at(index).ending;
  }
  /// Asks the node as the platform does.
  bool IsReady(std::size_t index);
  /// @return false if not all are ready in time.
  bool WaitUntilReady(std::chrono::milliseconds timeout);

  /// Writes the configuration of the services, with one route of each kind.
  void Configure(std::uint64_t version, bool with_extra_route = false);

  /// One requester attempt on a channel of its own.
  caller_answer Call(
      std::size_t node,
      const std::string& method,
      const std::string& path,
      const std::string& id,
      const runtime::http_fields& more = {},
      std::chrono::milliseconds deadline = std::chrono::milliseconds(1500));

  /// Runs @p count calls of @p method and @p path, spread over the nodes, each
  /// @p gap after the one before.
  /// @return their answers, in order; the ids are @p prefix and a number.
  std::vector<caller_answer> CallMany(std::size_t count,
                                      const std::string& prefix,
                                      const std::string& method,
                                      const std::string& path,
                                      std::chrono::milliseconds gap);

  /// One caller with a kept channel to @p node: waits between @p shortest and
  /// @p longest after each request, and uses the same channel while the node
  /// keeps it, until @p end. Runs in a fiber.
  /// @param sent all that it sent, added when it was answered or closed.
  void CallOnKeptChannel(std::size_t node,
                         const std::string& prefix,
                         const std::string& method,
                         const std::string& path,
                         std::chrono::milliseconds shortest,
                         std::chrono::milliseconds longest,
                         steady_time end,
                         std::vector<kept_call>& sent);
  /// The same, with @p gap on average.
  void CallOnKeptChannel(std::size_t node,
                         const std::string& prefix,
                         const std::string& method,
                         const std::string& path,
                         std::chrono::milliseconds gap,
                         steady_time end,
                         std::vector<kept_call>& sent) {
    CallOnKeptChannel(node, prefix, method, path, std::chrono::milliseconds(0),
                      2 * gap, end, sent);
  }

  /// Writes a line, with the time since the start, to the record.
  void Record(const std::string& line);

  boost::asio::io_context& loop() { return loop_; }

 private:
  struct node {
    std::string name;
    std::string caller;
    std::string ready;
    std::string settings;
    std::string log;
    pid_t pid = -1;
    std::string ending;
  };

  boost::asio::io_context& loop_;
  platform_store store_;
  std::vector<std::unique_ptr<plain_replica>> replicas_;
  std::vector<node> nodes_;
  std::string folder_;
  std::ofstream record_;
  steady_time began_;
  std::mt19937 random_{1};
};

void Sleep(std::chrono::milliseconds time);

/// @return whether TROUBLE isn't 0.
bool WithTrouble();

/// Runs @p body in a fiber beside the stand-ins, and ends the process with its
/// result.
int RunCase(const std::function<int(deployment&)>& body);

}  // namespace flamingoshunt::review

#endif  // FLAMINGOSHUNT_REVIEW_HARNESS_DEPLOYMENT_H_
