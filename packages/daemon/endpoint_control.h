// Defines the control side of the endpoint interface: orders to instances and
// questions for their reports, each in a fiber of the replica thread.
#ifndef FLAMINGOSHUNT_DAEMON_ENDPOINT_CONTROL_H_
#define FLAMINGOSHUNT_DAEMON_ENDPOINT_CONTROL_H_

#include <functional>
#include <set>
#include <variant>

#include "base/clock.h"
#include "endpoint/messages.h"
#include "runtime/http_client.h"

namespace flamingoshunt::daemon {

using instance_news = std::variant<endpoint::report, endpoint::order_result>;

class endpoint_control {
 public:
  /// @param deliver called on the loop's thread.
  /// @param report_timeout bounds the whole question; a report that comes later
  ///        speaks for a time too long ago and is dropped.
  endpoint_control(boost::asio::io_context& loop,
                   const base::clock& clock,
                   base::duration report_timeout,
                   base::duration order_timeout,
                   std::function<void(instance_news)> deliver);

  /// Exactly one order_result follows.
  void SendOrder(const endpoint::order& order);

  /// A report or nothing follows; an instance that has not answered the last
  /// question is not asked again meanwhile.
  void AskReport(const endpoint::instance& instance);

 private:
  endpoint::order_outcome PerformOrder(const endpoint::order& order);
  void FetchReport(const endpoint::instance& instance);

  const base::clock& clock_;
  base::duration report_timeout_;
  base::duration order_timeout_;
  std::function<void(instance_news)> deliver_;
  runtime::connection_pool pool_;
  std::set<base::instance_id> asking_;
};

}  // namespace flamingoshunt::daemon

#endif  // FLAMINGOSHUNT_DAEMON_ENDPOINT_CONTROL_H_
