// Defines what must hold in a soak, from what callers, replicas and the starter
// of the processes saw.
#ifndef FLAMINGOSHUNT_TESTS_SOAK_CHECKS_H_
#define FLAMINGOSHUNT_TESTS_SOAK_CHECKS_H_

#include <map>
#include <string>
#include <vector>

#include "tests/soak/callers.h"
#include "tests/soak/faults.h"

namespace flamingoshunt::soak {

/// @param runs how often each request ran, over all replicas.
/// @return a line for each promise that was broken.
std::vector<std::string> FindBrokenPromises(
    const std::vector<sent_request>& requests,
    const std::map<std::string, int>& runs,
    fault_set set);

/// Asks each node for each kind of request and each added route, after the
/// faults. @return a line for each that isn't served in time.
std::vector<std::string> FindUnserved(processes& deployment,
                                      callers& asking,
                                      int extra_routes);

/// @return the requests by kind and how they ended.
std::map<std::string, int> CountOutcomes(
    const std::vector<sent_request>& requests);

}  // namespace flamingoshunt::soak

#endif  // FLAMINGOSHUNT_TESTS_SOAK_CHECKS_H_
