#include "endpoint/instance_json.h"

#include <boost/json.hpp>

#include "base/checked_json.h"

namespace flamingoshunt::endpoint {

std::string EncodeInstance(const instance& described) {
  boost::json::object object;
  object["address"] = described.address;
  object["failure_domain"] = described.failure_domain.str();
  object["fabric_domain"] = described.fabric_domain.str();
  object["region"] = described.region.str();
  object["leaving"] = described.leaving;
  return boost::json::serialize(object);
}

instance DecodeInstance(const std::string& name, std::string_view value) {
  base::json_problems problems;
  const auto json = base::ParseJson(value, problems);
  if (!json)
    throw base::json_document_error(problems);
  base::object_reader reader(*json, "", problems);
  instance described;
  described.id = base::instance_id(name);
  described.address = reader.String("address");
  described.failure_domain =
      base::failure_domain_id(reader.String("failure_domain"));
  described.fabric_domain =
      base::fabric_domain_id(reader.String("fabric_domain"));
  described.region = base::region_id(reader.String("region"));
  described.leaving = reader.Boolean("leaving", false);
  // Unknown keys are ignored, since the platform may add its own.
  if (!problems.empty())
    throw base::json_document_error(problems);
  return described;
}

}  // namespace flamingoshunt::endpoint
