#include "daemon/endpoint_control.h"

#include <utility>

#include "endpoint/http_codec.h"
#include "runtime/fiber_scheduler.h"

namespace flamingoshunt::daemon {

endpoint_control::endpoint_control(boost::asio::io_context& loop,
                                   const base::clock& clock,
                                   base::duration report_timeout,
                                   base::duration order_timeout,
                                   std::function<void(instance_news)> deliver)
    : clock_(clock),
      report_timeout_(report_timeout),
      order_timeout_(order_timeout),
      deliver_(std::move(deliver)),
      pool_(loop) {}

void endpoint_control::SendOrder(const endpoint::order& order) {
  runtime::SpawnFiber([this, order] {
    deliver_(
        endpoint::order_result{order.id, order.target, PerformOrder(order)});
  });
}

// An order is never repeated here: the replica slice decides that, since the
// allocation may have changed meanwhile.
endpoint::order_outcome endpoint_control::PerformOrder(
    const endpoint::order& order) {
  bool may_have_left = false;
  try {
    auto connection = pool_.Open(order.address, order_timeout_);
    auto message =
        runtime::MakeRequest("POST", endpoint::kOrderTarget, order.address,
                             endpoint::EncodeOrder(order), "application/json");
    may_have_left = true;
    const auto reply = runtime::Exchange(*connection, message, order_timeout_);
    pool_.Return(std::move(connection));
    return endpoint::ToOrderOutcome(reply.head.status);
  } catch (const runtime::transport_error&) {
  } catch (const base::user_error&) {
    // The address in the platform's list is no address.
  }
  return may_have_left ? endpoint::order_outcome::kUnknown
                       : endpoint::order_outcome::kUnreachable;
}

void endpoint_control::AskReport(const endpoint::instance& instance) {
  if (!asking_.insert(instance.id).second)
    return;
  runtime::SpawnFiber([this, instance] {
    FetchReport(instance);
    asking_.erase(instance.id);
  });
}

void endpoint_control::FetchReport(const endpoint::instance& instance) {
  const base::time_point asked = clock_.Now();
  try {
    const auto reply = runtime::Fetch(
        pool_, instance.address,
        runtime::MakeRequest("GET", endpoint::kReportTarget, instance.address),
        report_timeout_);
    const bool in_time = clock_.Now() - asked <= report_timeout_;
    if (in_time && reply.head.status == 200)
      deliver_(endpoint::DecodeReport(reply.body, instance.id));
  } catch (const runtime::transport_error&) {
    // No report is what the readiness gate acts on.
  } catch (const base::user_error&) {
  }
}

}  // namespace flamingoshunt::daemon
