// Defines how endpoints are probed: by connections that carry no request.
#ifndef FLAMINGOSHUNT_GATEWAY_ENDPOINT_PROBE_H_
#define FLAMINGOSHUNT_GATEWAY_ENDPOINT_PROBE_H_

#include <boost/asio/io_context.hpp>

#include <string>
#include <vector>

#include "base/clock.h"
#include "base/random.h"
#include "gateway/endpoint_reach.h"

namespace flamingoshunt::gateway {

/// @return some of @p addresses: those that @p reach reached last, and others
/// at
///         random.
std::vector<std::string> ChooseProbed(std::vector<std::string> addresses,
                                      const endpoint_reach& reach,
                                      base::random_engine& random);

/// Connects to all @p addresses at once; returns to the calling fiber when
/// enough were reached to count as connected, or each was reached or has
/// failed.
/// @param timeout of each connection.
probe_result ProbeEndpoints(boost::asio::io_context& loop,
                            const std::vector<std::string>& addresses,
                            base::duration timeout);

}  // namespace flamingoshunt::gateway

#endif  // FLAMINGOSHUNT_GATEWAY_ENDPOINT_PROBE_H_
