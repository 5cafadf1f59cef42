// Defines the membership duty: the thread that owns the membership agent,
// serves POST /peer, and carries the agent's messages to other entry instances.
// Duties that publish or listen to peers are linked before the start.
#ifndef FLAMINGOSHUNT_DAEMON_MEMBERSHIP_DUTY_H_
#define FLAMINGOSHUNT_DAEMON_MEMBERSHIP_DUTY_H_

#include <boost/json.hpp>

#include <atomic>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "daemon/control_messages.h"
#include "daemon/platform_duty.h"
#include "daemon/status_link.h"
#include "duty/duty_thread.h"
#include "duty/outbox.h"
#include "duty/timer.h"
#include "membership/agent.h"
#include "runtime/http_client.h"
#include "runtime/http_server.h"

namespace flamingoshunt::daemon {

struct membership_options {
  base::node_id node;
  base::region_id region;
  base::failure_domain_id failure_domain;
  std::string listen;
  std::string cluster_key;
  membership::timing timing;
  std::uint64_t incarnation = 1;  ///< Time of the start in milliseconds.
  std::uint64_t seed = 1;
};

class membership_duty {
 public:
  /// Listens at once. @throws base::user_error naming a bad setting.
  membership_duty(const membership_options& options, const base::clock& clock);

  duty::channel<platform_delivery>& platform() { return platform_news_; }
  void ConnectPlatform(duty::channel<store::call>& calls);

  /// Links a duty; before Start only.
  /// @param news gets items and changes of peers.
  /// @return the channel for what it publishes.
  duty::channel<membership::publish>& Link(duty::channel<peer_news>& news);

  void Start();
  void Stop() { thread_.Stop(); }

  /// Tells the others that this node leaves; callable from any thread.
  void BeginLeave();
  /// @return whether the leave is complete; from any thread.
  bool left() const { return left_.load(); }

  boost::asio::io_context& loop() { return thread_.loop(); }
  std::string address() const { return server_->address(); }

  /// Answers the admin thread; on this duty's thread.
  boost::json::value Answer(const status_query& query);

 private:
  template <class Input>
  void Feed(const Input& input) {
    Perform(agent_->Handle(input, clock_.Now()));
  }
  void Perform(membership::effects effects);
  void HandlePost(runtime::http_exchange& exchange);
  void SendCall(const membership::peer_call& call);

  const base::clock& clock_;
  duty::duty_thread thread_;
  std::unique_ptr<runtime::http_server> server_;
  std::unique_ptr<membership::agent> agent_;
  runtime::connection_pool pool_;
  duty::timer timer_;
  duty::channel<platform_delivery> platform_news_;
  std::optional<duty::outbox<store::call>> calls_;
  std::vector<std::unique_ptr<duty::channel<membership::publish>>>
      publications_;
  std::vector<std::unique_ptr<duty::outbox<peer_news>>> listeners_;
  std::map<membership::peer_request_handle, runtime::fiber_queue<std::string>>
      unanswered_;
  std::uint64_t next_handle_ = 1;
  std::atomic<bool> left_{false};
};

}  // namespace flamingoshunt::daemon

#endif  // FLAMINGOSHUNT_DAEMON_MEMBERSHIP_DUTY_H_
