// Defines the check that a text has the shape of a JSON-RPC call or answer. It
// runs before libjsonrpccpp sees the text: that library lets exceptions of its
// JSON parser (too deep nesting, a member asked of a number) run into its
// exception specifications, which ends the process.
#ifndef FLAMINGOSHUNT_MEMBERSHIP_RPC_SHAPE_H_
#define FLAMINGOSHUNT_MEMBERSHIP_RPC_SHAPE_H_

#include <string>
#include <string_view>

namespace flamingoshunt::membership {

/// @return what is wrong with @p text as a JSON-RPC 2.0 call with parameters by
///         position, all strings; empty when nothing is.
std::string RequestShapeProblem(std::string_view text);

/// @return what is wrong with @p text as a JSON-RPC 2.0 answer whose result is
///         an array; empty when nothing is. An error is given as "error CODE".
std::string AnswerShapeProblem(std::string_view text);

}  // namespace flamingoshunt::membership

#endif  // FLAMINGOSHUNT_MEMBERSHIP_RPC_SHAPE_H_
