// Defines how the platform's list describes an endpoint instance: as the JSON
// value of an object of kind "instance", whose name is the instance's id.
//
//   {"address":"10.0.0.7:8000","failure_domain":"langley",
//    "fabric_domain":"langley-f2","region":"bc-south","leaving":false}
#ifndef FLAMINGOSHUNT_ENDPOINT_INSTANCE_JSON_H_
#define FLAMINGOSHUNT_ENDPOINT_INSTANCE_JSON_H_

#include <string>
#include <string_view>

#include "endpoint/messages.h"

namespace flamingoshunt::endpoint {

std::string EncodeInstance(const instance& described);

/// @param name the object's name. @throws base::json_document_error
instance DecodeInstance(const std::string& name, std::string_view value);

}  // namespace flamingoshunt::endpoint

#endif  // FLAMINGOSHUNT_ENDPOINT_INSTANCE_JSON_H_
