// Defines limits and weights of the planner. Durations of the replicas' own
// work (loading, joining, opening) come from the configuration.
#ifndef FLAMINGOSHUNT_GROUPS_PLANNER_BOUNDS_H_
#define FLAMINGOSHUNT_GROUPS_PLANNER_BOUNDS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace flamingoshunt::groups {

using std::chrono::milliseconds;

// Stands for the unknown model of a load that an earlier leader ordered.
inline constexpr char kUnknownModel[] = "(unknown)";
// The epochs of a term start at term times this, so that those of a later term
// are higher.
inline constexpr std::uint64_t kEpochsPerTerm = 1'000'000;
// Fencing tokens of a term, likewise.
inline constexpr std::uint64_t kFencesPerTerm = 1'000'000'000;
// The platform's list lags behind. A listed state overrides a report only if
// the report is at least this old.
inline constexpr milliseconds kListLag{1500};
// How long a new leader waits for all reports before it announces the groups
// that serve. Whatever depends on a missing report waits for that one.
inline constexpr milliseconds kInventoryTime{600};
// Queries of the inventory on their way at once: a small node that sent
// hundreds would see them all time out.
inline constexpr std::size_t kInventoryQueries = 8;
// A replica is ordered to join only if its membership was known this recently:
// an earlier leader that was paused may still send orders.
inline constexpr milliseconds kMembershipFreshness{3000};
inline constexpr milliseconds kListSettleTime{400};
// Delay before an order that was not accepted is sent again.
inline constexpr milliseconds kOrderRetryDelay{300};
// An accepted order that shows no effect is repeated after its expected
// duration and this.
inline constexpr milliseconds kOrderEffectMargin{2000};
// Requests of a closing group may run this long before they are cut and resume
// elsewhere.
inline constexpr milliseconds kFinishTimeout{1500};
// Added to the time that a head takes to open.
inline constexpr milliseconds kOpenMargin{20};
// Duration of a join when the replica already served the model in its last
// group.
inline constexpr milliseconds kRejoinTime{200};
inline constexpr milliseconds kQueryIntervalNearDue{80};
inline constexpr milliseconds kQueryIntervalLoading{300};
// Its end isn't known, and may be near.
inline constexpr milliseconds kQueryIntervalUnknownLoad{1000};
inline constexpr milliseconds kQueryIntervalLost{2000};
// While the leader finds out whether it reaches others.
inline constexpr milliseconds kQueryIntervalInconclusive{80};
inline constexpr milliseconds kQueryIntervalLostHead{250};
// How long a lost head is queried again before the group gives it up.
inline constexpr milliseconds kLostHeadTimeout{1000};
// A query without any answer counts as failed after this.
inline constexpr milliseconds kQueryTimeout{2000};
// A report younger than this also answers a new stall suspicion.
inline constexpr milliseconds kFreshReportAge{150};
// Consecutive failed queries that mark a replica as lost. A single one may be
// due to a lost packet.
inline constexpr int kFailedQueriesUntilLost = 2;
// A replica that accepts connections and answers nothing is lost after this: a
// sound one may be silent for a second or so.
inline constexpr milliseconds kSilenceUntilLost{2000};
// And not before so many queries in a row: this node may have been paused.
inline constexpr int kSilentQueriesUntilLost = 4;
inline constexpr milliseconds kQueryIntervalSilent{200};
// Before the first request a load takes this fraction of its time.
inline constexpr int kEarlyLoadDivisor = 10;
// Before the first request, this many times the number of loads that run at
// full speed are started: they share the rate, but a load that began before the
// first request stays short.
inline constexpr int kEarlyLoadConcurrencyFactor = 2;
// Added to the shortfall of a model that a domain does not serve yet. Mixing
// the group sizes leaves fewer replicas of a domain unused.
inline constexpr double kUnservedModelBonus = 0.3;
// Replicas are reserved for a model whose shortfall is higher by this much:
// about two groups of six.
inline constexpr double kShortfallMargin = 0.3;
// A model that lacks half of its groups takes replicas from one that has
// enough, also where no more of them serve afterwards.
inline constexpr double kRebalanceShortfall = 0.5;
// Free replicas wait for the weights of a larger model for this long; otherwise
// a smaller group serves meanwhile.
inline constexpr milliseconds kReserveTime{3000};
// Groups of a large model for which others are given up at the same time.
inline constexpr std::size_t kRoomsAtOnce = 2;
// The replicas of groups that were given up are kept for the new group for this
// long: draining, leaving and a report.
inline constexpr milliseconds kPromiseTime{4000};
// Warm spares of a model in a fabric domain, whatever the rate of losses.
inline constexpr std::size_t kMostSpares = 4;
// Before the first request loads are short, and the rate of losses is unknown.
inline constexpr double kEarlySpares = 4;
inline constexpr char kRebalanceReason[] = "makes_room";
// Another leader has acted in the domain, whose groups are rebuilt.
inline constexpr char kOtherLeaderReason[] = "other_leader_acted";
inline constexpr char kMemberLostReason[] = "member_lost_while_forming";
inline constexpr char kIncompleteReason[] = "incomplete_when_adopted";
inline constexpr milliseconds kBusyTickInterval{40};
inline constexpr milliseconds kIdleTickInterval{400};
// Because members leave, one group of a model is replaced at a time, or one of
// so many that serve.
inline constexpr int kServingPerReplacement = 4;
inline constexpr char kLeavingReason[] = "member_leaving";
// Groups in an evacuated failure domain are kept open this long: one that is
// taken back sooner, as after a restart of its hosts, serves at once.
inline constexpr milliseconds kEvacuatedGroupKept{30000};
inline constexpr double kSlowReplicaFactor =
    1.5;  // Slower replicas are chosen last.

}  // namespace flamingoshunt::groups

#endif  // FLAMINGOSHUNT_GROUPS_PLANNER_BOUNDS_H_
