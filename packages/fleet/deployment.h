// Defines the seam to a deployment: how its configuration, its list of
// replicas, their reports and their orders are written. An adapter implements
// it; nothing else knows the deployment's names.
#ifndef FLAMINGOSHUNT_FLEET_DEPLOYMENT_H_
#define FLAMINGOSHUNT_FLEET_DEPLOYMENT_H_

#include <optional>
#include <string>
#include <string_view>

#include "fleet/order.h"
#include "fleet/replica.h"
#include "gateway/configuration.h"
#include "runtime/http_client.h"

namespace flamingoshunt::fleet {

class deployment {
 public:
  virtual ~deployment() = default;

  /// @return the kind and the name of the object with the configuration.
  virtual std::string_view configuration_kind() const = 0;
  virtual std::string_view configuration_name() const = 0;

  /// @return the kind of the objects that list replicas.
  virtual std::string_view replica_kind() const = 0;

  /// @throws base::user_error naming the offending part.
  virtual gateway::configuration_ptr ReadConfiguration(
      std::string_view text) const = 0;

  /// @return nothing for an entry that names no replica to use: fields that
  ///         are missing, of another type, or unknown states.
  virtual std::optional<replica> ReadReplica(const std::string& name,
                                             std::string_view text) const = 0;

  /// @param id any other replica at @p address must not answer.
  virtual runtime::http_request MakeReportRequest(
      const base::instance_id& id,
      const std::string& address) const = 0;

  /// @return nothing when @p status and @p text are no report.
  virtual std::optional<engine_state> ReadReport(
      int status,
      std::string_view text) const = 0;

  virtual runtime::http_request MakeOrderRequest(const order& order) const = 0;
  virtual order_result ReadOrderResult(int status) const = 0;
};

}  // namespace flamingoshunt::fleet

#endif  // FLAMINGOSHUNT_FLEET_DEPLOYMENT_H_
