// Defines how the admin thread asks a duty for its part of the status: a query
// one way, a JSON object back, both over bounded channels.
#ifndef FLAMINGOSHUNT_DAEMON_STATUS_LINK_H_
#define FLAMINGOSHUNT_DAEMON_STATUS_LINK_H_

#include <boost/json.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include "duty/channel.h"
#include "runtime/fiber_wait.h"

namespace flamingoshunt::daemon {

/// A question to a duty, as a verb and an argument.
struct status_query {
  std::uint64_t id = 0;
  std::string verb;  ///< "status", "quarantine", "lift", "explain".
  std::string argument;
};

struct status_answer {
  std::uint64_t id = 0;
  boost::json::value value;
};

/// Owned by the admin thread; one for each duty that is asked.
class status_link {
 public:
  using answerer = std::function<boost::json::value(const status_query&)>;

  /// @param duty_loop the loop of the duty that answers.
  /// @param answer called on the duty's thread.
  status_link(boost::asio::io_context& admin_loop,
              boost::asio::io_context& duty_loop,
              answerer answer)
      : answer_(std::move(answer)),
        answers_(kRing,
                 admin_loop,
                 [this](status_answer&& given) { Deliver(std::move(given)); }),
        queries_(kRing, duty_loop, [this](status_query&& query) {
          status_answer answer{query.id, answer_(query)};
          // At most kRing queries are under way, so this never is full.
          answers_.TryPush(answer);
        }) {}

  /// Asks and waits; for fibers of the admin thread.
  /// @return null when the duty has too many questions waiting.
  boost::json::value Ask(std::string verb, std::string argument = {}) {
    if (waiting_.size() >= kRing)
      return nullptr;
    const std::uint64_t id = next_++;
    auto& reply = waiting_[id];
    status_query query{id, std::move(verb), std::move(argument)};
    if (!queries_.TryPush(query)) {
      waiting_.erase(id);
      return nullptr;
    }
    boost::json::value value = reply.Pop();
    waiting_.erase(id);
    return value;
  }

 private:
  static constexpr std::size_t kRing = 16;  // questions under way

  void Deliver(status_answer given) {
    const auto found = waiting_.find(given.id);
    if (found != waiting_.end())
      found->second.Push(std::move(given.value));
  }

  answerer answer_;
  std::uint64_t next_ = 1;
  std::map<std::uint64_t, runtime::fiber_queue<boost::json::value>> waiting_;
  duty::channel<status_answer> answers_;
  duty::channel<status_query> queries_;
};

}  // namespace flamingoshunt::daemon

#endif  // FLAMINGOSHUNT_DAEMON_STATUS_LINK_H_
