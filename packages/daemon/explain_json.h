// Converts what operators ask about a placement, and the explanation of it,
// from the query of an admin request and to JSON.
#ifndef FLAMINGOSHUNT_DAEMON_EXPLAIN_JSON_H_
#define FLAMINGOSHUNT_DAEMON_EXPLAIN_JSON_H_

#include <boost/json.hpp>

#include <optional>
#include <string_view>

#include "gateway/placement_explanation.h"

namespace flamingoshunt::daemon {

/// @param query "host=H&path=P&model=M&prompt=N&output=N&hint=N"; all but host
///        and path may be missing.
/// @return nothing if it is malformed.
std::optional<gateway::described_request> ParseExplainQuery(
    std::string_view query);

/// @return the explanation; an object with "error" alone if there is none.
boost::json::object ToJson(const gateway::placement_explanation& explanation);

}  // namespace flamingoshunt::daemon

#endif  // FLAMINGOSHUNT_DAEMON_EXPLAIN_JSON_H_
