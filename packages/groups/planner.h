// Defines how the replicas of an engine service are made into groups and kept
// whole: which model each domain serves, who joins, when a head may open, what
// happens to a group that lost a member, and which hosts hold a warm copy for
// the next loss. It takes facts and answers to orders and gives orders; it has
// no sockets and no clock, and only the acting node runs it.
//
// A group is never changed in place: one that lost a member is closed and its
// survivors become free; free replicas of a domain form the group that returns
// most service soonest.
#ifndef FLAMINGOSHUNT_GROUPS_PLANNER_H_
#define FLAMINGOSHUNT_GROUPS_PLANNER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "fleet/order.h"
#include "fleet/peer_status.h"
#include "fleet/replica.h"
#include "gateway/configuration.h"
#include "groups/load_budget.h"

namespace flamingoshunt::groups {

enum class group_phase {
  kForming,  ///< Members join.
  kOpening,  ///< All are ready; the head was told to open.
  kServing,
  kClosing  ///< The head is told to close; then the members are free.
};

const char* NameOf(group_phase phase);

struct group {
  std::string name;
  base::epoch epoch;
  std::string model;
  std::vector<base::instance_id> members;  ///< The head first.
  group_phase phase = group_phase::kForming;
  base::time_point since{};  ///< Of the phase.
  fleet::close_mode close = fleet::close_mode::kAbort;
  std::string reason;                 ///< Of the last change.
  std::uint64_t head_started_ms = 0;  ///< Start of the head's process.
  std::optional<base::time_point> rests_since;  ///< Its head takes nothing new.
  const base::instance_id& head() const { return members.front(); }
};

/// A replica to ask for a report.
struct question {
  base::instance_id to;
  std::string address;
};

/// What the acting node carries out.
struct plan {
  std::vector<fleet::order> orders;
  std::vector<question> questions;
};

/// One change of a group, for the log.
struct group_change {
  group what;
  std::string event;  ///< "forming", "serving", "closing", ...
};

class planner {
 public:
  explicit planner(std::string service);

  void SetLayout(const gateway::engine_profile& layout);

  /// Takes over under @p term: what is known of groups comes from the replicas
  /// alone.
  void BeginTerm(std::uint64_t term, base::time_point now);

  /// From the platform's list, which lags behind reports.
  void Listed(const fleet::replica& replica, base::time_point now);
  /// It left the platform's list; it may still live.
  void Gone(const base::instance_id& id);

  /// Answers to questions.
  void Reported(const base::instance_id& id,
                const fleet::engine_state& state,
                base::time_point now);
  /// @param refused whether the address takes no connections at all.
  void Unreachable(const base::instance_id& id,
                   bool refused,
                   base::time_point now);

  /// A node saw the head stand still.
  void Suspected(const base::instance_id& head, base::time_point now);

  /// Requests have arrived somewhere: loads now cost their full time.
  void RequestsBegan() {
    loads_.StartCounting();
    requests_began_ = true;
  }

  void Settled(const fleet::order& order,
               fleet::order_result result,
               base::time_point now);

  plan Tick(base::time_point now);

  /// @return when Tick has something to do without news.
  base::time_point NextTimer(base::time_point now) const;

  /// @return the groups that take requests, to be told to all nodes.
  const fleet::group_announcement& statement() const { return statement_; }

  std::vector<group_change> TakeChanges();

  const std::map<std::string, group>& groups() const { return groups_; }

 private:
  struct member {
    fleet::replica facts;
    base::time_point reported_at{};  ///< Last direct report; epoch if none.
    std::optional<base::time_point> asked_at;
    int failures = 0;   ///< Questions without an answer in a row.
    bool lost = false;  ///< Unreachable, as far as is known.
    std::optional<base::time_point> lost_at;
    bool order_pending = false;
    base::time_point order_not_before{};
    std::string loading;  ///< Model under way from the weight store.
    base::time_point loading_until{};
    std::string ordered_group;  ///< Last join that was accepted.
    base::epoch ordered_epoch;
    base::time_point ordered_at{};
    base::epoch ordered_close;  ///< Epoch of the last close taken.
    base::epoch ordered_open;   ///< Epoch of the last open taken.
    fleet::close_mode closed_by = fleet::close_mode::kDrain;
    base::epoch left;  ///< Epoch of the last group it was told to leave.
    base::time_point opened_at{};  ///< Last answer to an open.
    bool question_due = false;
    base::time_point last_asked{};
    bool refused = false;               ///< Its address takes no connections.
    bool gone = false;                  ///< Left the platform's list.
    std::uint64_t listed_start_ms = 0;  ///< Start that the list tells.
  };

  member* Find(const base::instance_id& id);
  const member* Find(const base::instance_id& id) const;
  bool Usable(const member& of) const;
  bool Displaced(const member& of) const;
  void SettleAddress(const std::string& address);
  bool Holds(const member& of, const std::string& model) const;
  bool IsIn(const member& of, const group& group) const;
  static void ForgetOrders(member& of);
  base::duration JoinTime(const member& of, const std::string& model) const;

  void Adopt(base::time_point now);
  void AdoptLoads(base::time_point now);
  const gateway::model_layout* ModelOf(
      const std::vector<const member*>& in) const;
  void StepForming(group& of, plan& out, base::time_point now);
  void StepOpening(group& of, plan& out, base::time_point now);
  void StepServing(group& of, plan& out, base::time_point now);
  bool StepClosing(group& of, plan& out, base::time_point now);
  void Change(group& of,
              group_phase phase,
              base::time_point now,
              std::string reason = {});
  void Close(group& of,
             fleet::close_mode mode,
             std::string reason,
             base::time_point now);
  void FormGroups(bool settled, base::time_point now);
  std::size_t InDomain(const base::fabric_domain_id& domain) const;
  bool FormOneIn(const base::fabric_domain_id& domain, base::time_point now);
  struct draft {
    std::string model;
    std::vector<base::instance_id> members;
    int loads = 0;
    double need = 0;
  };
  std::optional<draft> Draft(const gateway::model_layout& model,
                             const std::vector<const member*>& free) const;
  double Need(const gateway::model_layout& model) const;
  double GroupsMeant(const gateway::model_layout& model) const;
  bool KeptForAnother(const gateway::model_layout& model,
                      const base::fabric_domain_id& domain) const;
  void MakeRoom(base::time_point now);
  std::size_t CopiesMeant(const gateway::model_layout& model,
                          const base::fabric_domain_id& domain) const;
  void StageSpares(plan& out, base::time_point now);
  void AskWhereDue(plan& out, base::time_point now);
  std::vector<const member*> FreeIn(const base::fabric_domain_id& domain) const;
  std::set<base::fabric_domain_id> Domains() const;
  std::size_t WarmIn(const base::fabric_domain_id& domain,
                     const std::string& model) const;
  std::size_t LeavingIn(const base::fabric_domain_id& domain,
                        const std::string& model) const;
  bool HeadRests(const group& of) const;
  int ClosingForOthers(const std::string& model) const;
  int LoadsUnderWay(base::time_point now) const;
  bool MayLoad(int count, base::time_point now);
  base::duration LoadTime(const std::string& model) const;
  void Send(member& to, fleet::order_body body, plan& out);
  void Ask(member& of, plan& out, base::time_point now);
  void UpdateStatement();

  std::string service_;
  std::optional<gateway::engine_profile> layout_;
  std::uint64_t term_ = 0;
  std::uint64_t epochs_ = 0;  ///< Given out in this term.
  std::uint64_t names_ = 0;
  bool adopted_ = false;
  base::time_point stocktaking_until_{};
  base::time_point last_added_{};
  bool requests_began_ = false;
  std::map<base::instance_id, member> members_;
  /// The replica that an address belongs to: the last one started there.
  std::map<std::string, base::instance_id> holders_;
  std::map<std::string, group> groups_;
  std::map<base::instance_id, std::string> group_of_;
  load_budget loads_;
  std::uint64_t next_order_ = 1;
  fleet::group_announcement statement_;
  std::vector<group_change> changes_;
};

}  // namespace flamingoshunt::groups

#endif  // FLAMINGOSHUNT_GROUPS_PLANNER_H_
