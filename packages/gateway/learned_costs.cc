#include "gateway/learned_costs.h"

#include <algorithm>
#include <cmath>

#include "base/milliseconds.h"

namespace flamingoshunt::gateway {
namespace {

using std::chrono::milliseconds;

// An answer that has outgrown its estimate is expected to grow by this part of
// what it has: lengths are heavy-tailed.
constexpr double kOutgrownShare = 0.25;
// Events that callers may claim to have.
constexpr std::uint64_t kMaxEventsDone = 1U << 20;
// Assumed ratio of plain requests to this before any has ended.
constexpr milliseconds kPlainUnit{1};

length_query QueryFor(const expected_request& request,
                      const engine_profile& profile) {
  return {request.pool, request.traits.max_output_tokens,
          request.traits.hinted_output_tokens, profile.usual_answer_tokens};
}

double TokensOf(std::uint64_t events, const engine_profile& profile) {
  return static_cast<double>(std::min(events, kMaxEventsDone)) *
         profile.steps_per_pass;
}

// @return what is left of an answer of @p expected tokens after @p written.
double Remaining(double expected, double written, double smallest) {
  return std::max({expected - written, written * kOutgrownShare, smallest});
}

}  // namespace

expected_request learned_costs::Expect(expected_request request,
                                       const engine_profile* profile) const {
  if (!profile)
    return request;
  request.output = lengths_.Estimate(QueryFor(request, *profile));
  const double done = TokensOf(request.traits.events_done, *profile);
  if (done > 0) {
    const double smallest = profile->steps_per_pass;
    for (double* each :
         {&request.output.median, &request.output.mean, &request.output.high})
      *each = Remaining(*each, done, smallest);
  }
  return request;
}

base::duration learned_costs::UsualWork(const std::string& pool) const {
  return base::FromMilliseconds(base::Milliseconds(kPlainUnit) *
                                speeds_.UsualRatio(pool, timed_part::kWhole));
}

replica_state learned_costs::StateOf(const expected_request& request,
                                     const target& replica,
                                     const engine_profile* profile,
                                     const placed_load& load,
                                     base::time_point now) const {
  replica_state state;
  state.slots = replica.slots;
  state.time_factor =
      replica.time_factor * speeds_.FactorOf(replica.instance, now);
  state.load = load;
  const auto use = uses_.find(replica.instance);
  const replica_use own = use == uses_.end() ? replica_use{} : use->second;
  // Of the other nodes' requests only the numbers are known.
  const int others = std::max(0, load.running - own.running);
  if (!profile) {
    state.usual_work = UsualWork(request.pool);
    state.pending_work = own.work + others * state.usual_work;
    return state;
  }
  state.first_event_ratio =
      speeds_.UsualRatio(request.pool, timed_part::kFirstEvent);
  state.kv_tokens = own.kv_tokens + others * (profile->usual_prompt_tokens +
                                              profile->usual_answer_tokens);
  return state;
}

void learned_costs::OnPlaced(std::uint64_t ticket,
                             const expected_request& request,
                             const target& replica,
                             const engine_profile* profile,
                             const placed_load& load,
                             base::time_point now) {
  running_request& placed = running_[ticket];
  placed.pool = request.pool;
  placed.workspace = request.traits.workspace;
  placed.replica = replica.instance;
  placed.time_factor = replica.time_factor;
  placed.placed_at = placed.last_event_at = now;
  if (profile) {
    placed.length = QueryFor(request, *profile);
    placed.expected_tokens = request.output.mean;
    placed.events_done = std::min(request.traits.events_done, kMaxEventsDone);
    placed.kv_tokens =
        static_cast<double>(request.prompt_tokens) + request.output.mean;
    placed.first_event =
        EstimateQueuedWork(*profile, replica.time_factor, load,
                           request.prompt_tokens, request.output.mean)
            .first_event;
  } else {
    placed.work = UsualWork(request.pool);
  }
  replica_use& use = uses_[replica.instance];
  ++use.running;
  use.kv_tokens += placed.kv_tokens;
  use.work += placed.work;
}

void learned_costs::RecordTimes(const running_request& request,
                                const engine_profile& profile,
                                std::uint64_t events,
                                const placed_load& load,
                                base::time_point now) {
  if (request.events == 0) {
    speeds_.Record(request.pool, timed_part::kFirstEvent, request.replica,
                   request.first_event, now - request.placed_at, now);
    return;
  }
  const base::duration expected =
      EstimatePause(profile, request.time_factor, load.running,
                    static_cast<double>(load.pending_prompt_tokens));
  speeds_.Record(request.pool, timed_part::kEventGap, request.replica, expected,
                 (now - request.last_event_at) /
                     static_cast<std::int64_t>(events - request.events),
                 now);
}

std::optional<std::int64_t> learned_costs::OnEvents(
    std::uint64_t ticket,
    const engine_profile* profile,
    std::uint64_t events,
    const placed_load& load,
    base::time_point now) {
  const auto it = running_.find(ticket);
  if (it == running_.end() || !profile)
    return std::nullopt;
  running_request& request = it->second;
  if (events > request.events) {
    RecordTimes(request, *profile, events, load, now);
    request.events = events;
    request.last_event_at = now;
  }
  return std::llround(Remaining(request.expected_tokens,
                                TokensOf(events, *profile),
                                profile->steps_per_pass));
}

void learned_costs::OnReleased(std::uint64_t ticket,
                               const engine_profile* profile,
                               bool complete,
                               base::time_point now) {
  const auto it = running_.find(ticket);
  if (it == running_.end())
    return;
  const running_request& request = it->second;
  if (complete && !profile)
    speeds_.Record(request.pool, timed_part::kWhole, request.replica,
                   kPlainUnit, now - request.placed_at, now);
  if (complete && profile && request.events > 0)
    lengths_.Record(request.length, request.workspace,
                    TokensOf(request.events_done + request.events, *profile));
  replica_use& use = uses_[request.replica];
  use.kv_tokens -= request.kv_tokens;
  use.work -= request.work;
  if (--use.running <= 0)
    uses_.erase(request.replica);
  running_.erase(it);
}

}  // namespace flamingoshunt::gateway
