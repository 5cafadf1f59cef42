// Defines the planner's bounds and weights. Times of the replicas themselves
// (loads, joins, opening) come from the configuration.
#ifndef FLAMINGOSHUNT_GROUPS_PLANNER_BOUNDS_H_
#define FLAMINGOSHUNT_GROUPS_PLANNER_BOUNDS_H_

#include <chrono>
#include <cstdint>

namespace flamingoshunt::groups {

using std::chrono::milliseconds;

// Stands for a model that is loaded by order of an earlier actor.
inline constexpr char kUnknownModel[] = "(unknown)";
// Epochs of a term start here, so that those of a later term are higher.
inline constexpr std::uint64_t kEpochsPerTerm = 1'000'000;
// Fences of a term start here, likewise.
inline constexpr std::uint64_t kFencesPerTerm = 1'000'000'000;
// A listed state counts against a report only when the report is this old: the
// list shows changes late.
inline constexpr milliseconds kListLag{1500};
// Time for the replicas to answer before a new actor takes stock.
inline constexpr milliseconds kInventoryTime{600};
inline constexpr milliseconds kListSettleTime{400};
// Between an order without a usable answer and the next try.
inline constexpr milliseconds kOrderRetryDelay{300};
// An accepted order that shows no effect is repeated after its time and this.
inline constexpr milliseconds kOrderEffectMargin{2000};
// Requests of a closing group get so long to complete before they are cut and
// continue elsewhere.
inline constexpr milliseconds kFinishTimeout{1500};
// After the time that a head takes to open.
inline constexpr milliseconds kOpenMargin{20};
// A join whose model the replica had in its last group.
inline constexpr milliseconds kRejoinTime{200};
inline constexpr milliseconds kQueryIntervalNearDue{80};
inline constexpr milliseconds kQueryIntervalLoading{300};
inline constexpr milliseconds kQueryIntervalLost{2000};
inline constexpr milliseconds kQueryIntervalLostHead{250};
// How long a head without an answer is asked again before it is given up.
inline constexpr milliseconds kLostHeadTimeout{1000};
// A question without any answer counts as failed after this.
inline constexpr milliseconds kQueryTimeout{2000};
// A report younger than this answers a new suspicion as well.
inline constexpr milliseconds kFreshReportAge{150};
// Questions in a row without an answer that make a replica lost. A single one
// may have met a lost packet.
inline constexpr int kFailedQueriesUntilLost = 2;
// Before the first request loads take this part of their time.
inline constexpr int kEarlyLoadDivisor = 10;
// Before the first request so many times the loads that run at full speed are
// started: they share the rate, but what has begun stays cheap.
inline constexpr int kEarlyLoadConcurrencyFactor = 2;
// Preference for a model that a domain doesn't serve yet: keeps the sizes mixed
// so that few replicas of a domain are left over.
inline constexpr double kUnservedModelBonus = 0.3;
// A model that lacks this much more of its groups than another one has its
// replicas kept for it: about two groups of six.
inline constexpr double kShortfallMargin = 0.3;
// A model that lacks half of its groups gets them from one that has enough.
inline constexpr double kRebalanceShortfall = 0.5;
inline constexpr char kRebalanceReason[] = "makes_room";
inline constexpr milliseconds kBusyTickInterval{40};
inline constexpr milliseconds kIdleTickInterval{400};
// Groups of one model that are changed at once because members leave.
inline constexpr int kReplacementsAtOnce = 1;
inline constexpr char kLeavingReason[] = "member_leaving";
inline constexpr double kSlowReplicaFactor =
    1.5;  // A slower replica is taken last.

}  // namespace flamingoshunt::groups

#endif  // FLAMINGOSHUNT_GROUPS_PLANNER_BOUNDS_H_
