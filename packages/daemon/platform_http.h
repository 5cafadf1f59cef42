// Defines the platform port of the daemon: carries the calls and watches of the
// platform client by HTTP, each in a fiber of the platform thread. It repeats
// nothing: what a failure means is for the client to decide.
#ifndef FLAMINGOSHUNT_DAEMON_PLATFORM_HTTP_H_
#define FLAMINGOSHUNT_DAEMON_PLATFORM_HTTP_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "runtime/http_client.h"
#include "store/platform_port.h"

namespace flamingoshunt::daemon {

class platform_http final : public store::platform_port {
 public:
  /// @param addresses of the platform, "IP:port"; the next is tried after a
  ///        connection to one fails.
  /// @param deliver called on the loop's thread.
  platform_http(boost::asio::io_context& loop,
                std::vector<std::string> addresses,
                base::duration connect_timeout,
                store::port_receiver deliver);

  void Send(const store::call& request) override;
  void StartWatch(const store::watch_request& request) override;
  void StopWatch(store::watch_id id) override;

 private:
  store::reply Perform(const store::call& request);
  void RunWatch(const store::watch_request& request);
  std::unique_ptr<runtime::http_connection> Open();

  std::vector<std::string> addresses_;
  std::size_t current_ = 0;
  base::duration connect_timeout_;
  store::port_receiver deliver_;
  runtime::connection_pool pool_;
  std::map<store::watch_id, runtime::http_connection*> watches_;
};

}  // namespace flamingoshunt::daemon

#endif  // FLAMINGOSHUNT_DAEMON_PLATFORM_HTTP_H_
