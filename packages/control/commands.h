// Defines the functions behind the commands; commands.cc holds their table.
#ifndef FLAMINGOSHUNT_CONTROL_COMMANDS_H_
#define FLAMINGOSHUNT_CONTROL_COMMANDS_H_

#include "control/invocation.h"

namespace flamingoshunt::control {

exit_code Validate(session& here, const invocation& call);
exit_code Get(session& here, const invocation& call);
exit_code Diff(session& here, const invocation& call);
exit_code Apply(session& here, const invocation& call);
exit_code Edit(session& here, const invocation& call);
exit_code Delete(session& here, const invocation& call);
exit_code Status(session& here, const invocation& call);
exit_code Drain(session& here, const invocation& call);
exit_code Quarantine(session& here, const invocation& call);
exit_code Trace(session& here, const invocation& call);
exit_code Explain(session& here, const invocation& call);
exit_code Completion(session& here, const invocation& call);

/// Waits until some node says that it and every live peer hold @p generation.
/// @throws command_error (kWaitTimeout) naming the nodes that lag.
void WaitInForce(session& here,
                 const invocation& call,
                 std::uint64_t generation);

}  // namespace flamingoshunt::control

#endif  // FLAMINGOSHUNT_CONTROL_COMMANDS_H_
