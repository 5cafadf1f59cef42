// Defines the platform interface, one of the five outside interfaces: what the
// platform client asks of whatever carries its calls. The daemon carries them
// by HTTP; tests answer from memory. docs/INTERFACES.md gives the HTTP
// messages.
#ifndef FLAMINGOSHUNT_STORE_PLATFORM_PORT_H_
#define FLAMINGOSHUNT_STORE_PLATFORM_PORT_H_

#include <functional>
#include <memory>
#include <string>
#include <variant>

#include "base/clock.h"
#include "store/messages.h"

namespace flamingoshunt::store {

class platform_port {
 public:
  virtual ~platform_port() = default;

  /// Starts a call; exactly one reply with its id is delivered later, within
  /// the call's timeout.
  virtual void Send(const call& request) = 0;

  /// Opens a watch; events and at last one watch_ended follow.
  virtual void StartWatch(const watch_request& request) = 0;

  /// Closes a watch; events already under way may still arrive.
  virtual void StopWatch(watch_id id) = 0;

  /// Sets how long the watches of @p kind wait after changes before they ask
  /// for the next ones. Ports that are told of changes have nothing to set.
  virtual void SetPollDelay(const std::string& /*kind*/,
                            base::duration /*delay*/) {}
};

/// What a port delivers to the client.
using port_news = std::variant<reply, watch_event, watch_ended>;
using port_receiver = std::function<void(port_news)>;

}  // namespace flamingoshunt::store

#endif  // FLAMINGOSHUNT_STORE_PLATFORM_PORT_H_
