// Defines the platform duty: the thread that owns the platform client. Other
// duties are linked to it before the start; each link carries calls one way,
// and replies and the events of the kinds it watches the other way.
#ifndef FLAMINGOSHUNT_DAEMON_PLATFORM_DUTY_H_
#define FLAMINGOSHUNT_DAEMON_PLATFORM_DUTY_H_

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "duty/duty_thread.h"
#include "duty/outbox.h"
#include "duty/timer.h"
#include "store/client.h"
#include "store/platform_port.h"

namespace flamingoshunt::daemon {

/// Makes the port that carries the calls, on the duty's loop.
using port_factory = std::function<std::unique_ptr<store::platform_port>(
    boost::asio::io_context& loop,
    store::port_receiver deliver)>;

using platform_delivery = std::variant<store::reply, store::watch_event>;

class platform_duty {
 public:
  platform_duty(const store::client_options& options,
                const port_factory& make_port,
                const base::clock& clock,
                std::uint64_t seed);

  ~platform_duty();

  /// Adds a link; before Start only.
  /// @param deliveries the consumer's channel for replies and events.
  /// @param kinds the kinds of object that it watches.
  /// @return the channel for its calls.
  duty::channel<store::call>& Link(duty::channel<platform_delivery>& deliveries,
                                   const std::vector<std::string>& kinds);

  /// Adds a link for calls only.
  duty::channel<store::call>& Link(duty::channel<store::reply>& replies);

  void Start();
  /// Sets how long the watches of @p kind wait between two polls; from any
  /// thread.
  void SetPollDelay(const std::string& kind, base::duration delay);
  void Stop() { thread_.Stop(); }

  /// @return whether the platform answered last; from any thread.
  bool available() const { return available_.load(); }
  /// @return the last outage of at least client_options::lapse_outage, if there
  ///         was any, before what it delayed is delivered; from any thread.
  std::optional<store::outage> last_outage() const {
    const std::lock_guard lock(last_outage_mutex_);
    return last_outage_;
  }
  /// @return since when nothing has succeeded, by the duty's clock; the latest
  ///         time point when the last contact was a success. From any thread.
  base::time_point failing_since() const { return failing_since_.load(); }
  /// @return calls and watches sent since the start; from any thread.
  std::uint64_t sent() const { return sent_.load(); }

 private:
  struct link;
  struct caller {
    std::size_t link = 0;
    store::call_id id;
  };

  duty::channel<store::call>& AddLink(std::unique_ptr<link> added);
  void NoteSource(const store::port_news& news);
  void UpdateContact(const store::client_effects& effects);
  void Submit(std::size_t link, store::call call);
  void Perform(const store::client_effects& effects);
  void DeliverReply(store::reply reply);
  void DeliverEvent(const store::watch_event& event);

  const base::clock& clock_;
  duty::duty_thread thread_;
  store::client client_;
  std::unique_ptr<store::platform_port> port_;
  duty::timer timer_;
  std::vector<std::unique_ptr<link>> links_;
  std::unordered_map<store::watch_id, std::size_t> watch_links_;
  std::vector<std::pair<store::watch_id, std::string>> watches_;
  std::unordered_map<store::call_id, caller> callers_;
  std::uint64_t next_call_ = 1;
  std::atomic<bool> available_{false};
  base::duration lapse_outage_;
  const char* news_source_ = "call";  ///< Of the latest news.
  mutable std::mutex last_outage_mutex_;
  std::optional<store::outage> last_outage_;
  std::atomic<base::time_point> failing_since_{base::time_point::max()};
  std::atomic<std::uint64_t> sent_{0};
};

}  // namespace flamingoshunt::daemon

#endif  // FLAMINGOSHUNT_DAEMON_PLATFORM_DUTY_H_
