// Defines the catalogue duty: the thread that runs the version keeper and hands
// each new snapshot, and each change of its confirmation, to the threads that
// act on it.
#ifndef FLAMINGOSHUNT_DAEMON_CATALOGUE_DUTY_H_
#define FLAMINGOSHUNT_DAEMON_CATALOGUE_DUTY_H_

#include <boost/json.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "base/clock.h"
#include "catalogue/version_keeper.h"
#include "daemon/control_messages.h"
#include "daemon/platform_duty.h"
#include "daemon/status_link.h"
#include "duty/duty_thread.h"
#include "duty/outbox.h"
#include "duty/timer.h"

namespace flamingoshunt::daemon {

class catalogue_duty {
 public:
  catalogue_duty(const catalogue::keeper_options& options,
                 const base::clock& clock);

  duty::channel<platform_delivery>& platform() { return platform_news_; }
  duty::channel<peer_news>& peers() { return peer_news_; }

  // All before Start only:
  void ConnectPlatform(duty::channel<store::call>& calls);
  void ConnectPeers(duty::channel<membership::publish>& publications);
  /// Adds a thread that gets snapshots.
  void AddReader(duty::channel<catalogue::snapshot_ptr>& reader);
  /// Adds a thread that also gets to know whether they are confirmed.
  void AddReader(duty::channel<catalogue_update>& reader);

  void Start();
  void Stop() { thread_.Stop(); }
  boost::asio::io_context& loop() { return thread_.loop(); }

  /// @return whether a catalogue is in force and confirmed; from any thread.
  bool ready() const { return ready_.load(); }

  /// Answers the admin thread; on this duty's thread.
  boost::json::value Answer(const status_query& query);

 private:
  using reader = std::function<void(const catalogue_update&, bool changed)>;

  void Perform(const catalogue::keeper_effects& effects);
  void LogInForce(const catalogue::snapshot& in_force);

  const base::clock& clock_;
  duty::duty_thread thread_;
  catalogue::version_keeper keeper_;
  duty::timer timer_;
  duty::channel<platform_delivery> platform_news_;
  duty::channel<peer_news> peer_news_;
  std::optional<duty::outbox<store::call>> calls_;
  std::optional<duty::outbox<membership::publish>> publications_;
  std::vector<reader> readers_;
  std::atomic<bool> ready_{false};
};

}  // namespace flamingoshunt::daemon

#endif  // FLAMINGOSHUNT_DAEMON_CATALOGUE_DUTY_H_
