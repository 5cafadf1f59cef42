// Defines the admin duty: the thread that answers operators and monitoring on
// the admin address, and exports spans where an address for that is set.
#ifndef FLAMINGOSHUNT_DAEMON_ADMIN_DUTY_H_
#define FLAMINGOSHUNT_DAEMON_ADMIN_DUTY_H_

#include <atomic>
#include <map>
#include <memory>
#include <string>

#include "base/clock.h"
#include "base/ids.h"
#include "daemon/status_link.h"
#include "duty/duty_thread.h"
#include "runtime/http_client.h"
#include "runtime/http_server.h"
#include "telemetry/counters.h"
#include "telemetry/span_ring.h"

namespace flamingoshunt::daemon {

class admin_duty {
 public:
  /// Section of the duty that answers for the configuration in force.
  static constexpr char kFleetSection[] = "fleet";
  /// Section of the duty that explains placements.
  static constexpr char kEntrySection[] = "entry";

  /// @param otlp_address where spans are exported to; empty for nowhere.
  admin_duty(base::node_id self,
             const std::string& address,
             std::string otlp_address,
             telemetry::metric_registry& metrics,
             telemetry::span_ring& spans);

  /// Adds a duty that answers status queries; before Start only.
  /// @param section its key in the status.
  void AddDuty(std::string section,
               boost::asio::io_context& duty_loop,
               status_link::answerer answer);

  void Start(const std::atomic<bool>& ready);
  void Stop();
  std::string address() const { return server_->address(); }

 private:
  void Handle(runtime::http_exchange& exchange);
  void HandleConfiguration(runtime::http_exchange& exchange);
  void HandleExplain(runtime::http_exchange& exchange, std::string query);
  void HandleStatus(runtime::http_exchange& exchange);
  void HandleTrace(runtime::http_exchange& exchange, std::string id);
  void HandleQuarantine(runtime::http_exchange& exchange,
                        const std::string& fingerprint);
  void ExportLoop();

  base::node_id self_;
  std::string otlp_address_;
  duty::duty_thread thread_;
  telemetry::metric_registry& metrics_;
  telemetry::span_ring& spans_;
  std::map<std::string, std::unique_ptr<status_link>> duties_;
  std::unique_ptr<runtime::http_server> server_;
  const std::atomic<bool>* ready_ = nullptr;
  runtime::connection_pool pool_;
};

}  // namespace flamingoshunt::daemon

#endif  // FLAMINGOSHUNT_DAEMON_ADMIN_DUTY_H_
