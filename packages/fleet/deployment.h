// Defines the interface to a deployment: the encodings of its configuration,
// its list of replicas, their reports and their orders. An adapter implements
// it; no other code knows the deployment's field names.
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

/// Encodes and decodes the objects and messages of a deployment.
class deployment {
 public:
  virtual ~deployment() = default;

  /// @return the kind and the name of the configuration object.
  virtual std::string_view configuration_kind() const = 0;
  virtual std::string_view configuration_name() const = 0;

  /// @return the kind of the objects that list replicas.
  virtual std::string_view replica_kind() const = 0;

  /// @throws base::user_error naming the invalid part.
  virtual gateway::configuration_ptr ReadConfiguration(
      std::string_view text) const = 0;

  /// @return nothing for an entry without a usable replica: fields that are
  ///         missing or of another type, or an unknown state.
  virtual std::optional<replica> ReadReplica(const std::string& name,
                                             std::string_view text) const = 0;

  /// @return the kind of the objects that name evacuated failure domains.
  virtual std::string_view evacuation_kind() const = 0;

  /// @return nothing for an object that names none.
  virtual std::optional<base::failure_domain_id> ReadEvacuation(
      const std::string& name,
      std::string_view text) const = 0;

  /// @param id the replica to report; another one at @p address must not
  /// answer.
  virtual runtime::http_request MakeReportRequest(
      const base::instance_id& id,
      const std::string& address) const = 0;

  /// @return nothing if @p status and @p text are not a report.
  virtual std::optional<engine_state> ReadReport(
      int status,
      std::string_view text) const = 0;

  virtual runtime::http_request MakeOrderRequest(const order& order) const = 0;
  virtual order_result ReadOrderResult(int status) const = 0;

  /// @return whether the head of a replica's answer to a report request or an
  ///         order says that it is leaving.
  virtual bool ReadLeaving(const runtime::http_response_head& head) const = 0;
};

}  // namespace flamingoshunt::fleet

#endif  // FLAMINGOSHUNT_FLEET_DEPLOYMENT_H_
