// Defines the HTTP side of the platform stand-in: serves the object API under
// the real clock, and POST /faults, which sets the fault switches:
//
//   {"refuse":true}  {"silent":true}  {"lose_answers":1}  {"latency_ms":500}
#ifndef FLAMINGOSHUNT_STAND_INS_PLATFORM_HOST_H_
#define FLAMINGOSHUNT_STAND_INS_PLATFORM_HOST_H_

#include <map>
#include <memory>
#include <string>

#include "base/clock.h"
#include "duty/timer.h"
#include "runtime/http_server.h"
#include "stand_ins/platform_stand_in.h"

namespace flamingoshunt::stand_ins {

class platform_host {
 public:
  platform_host(boost::asio::io_context& loop, const base::clock& clock);

  /// @return the bound address.
  std::string Listen(const std::string& address);
  void Close();

 private:
  using mailbox = runtime::fiber_queue<platform_delivery>;

  void Handle(runtime::http_exchange& exchange);
  void HandleCall(runtime::http_exchange& exchange);
  void HandleWatch(runtime::http_exchange& exchange);
  void CallerGone(int client);
  void HandleFaults(runtime::http_exchange& exchange);
  void Pump();

  boost::asio::io_context& loop_;
  const base::clock& clock_;
  platform_stand_in platform_;
  duty::timer timer_;
  std::unique_ptr<runtime::http_server> server_;
  std::map<int, mailbox> waiting_;
  int next_client_ = 1;
};

}  // namespace flamingoshunt::stand_ins

#endif  // FLAMINGOSHUNT_STAND_INS_PLATFORM_HOST_H_
