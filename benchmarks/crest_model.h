// Defines the simulated deployment that the admission and routing measurements
// share: entry nodes with real admission machines, engine models, callers with
// crests of demand, and faults. Time is virtual and every run has a seed.
#ifndef FLAMINGOSHUNT_BENCHMARKS_CREST_MODEL_H_
#define FLAMINGOSHUNT_BENCHMARKS_CREST_MODEL_H_

#include <boost/random/exponential_distribution.hpp>
#include <boost/random/lognormal_distribution.hpp>
#include <boost/random/poisson_distribution.hpp>

#include <chrono>
#include <cmath>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "admission/controller.h"
#include "base/random.h"
#include "benchmarks/engine_model.h"
#include "benchmarks/scenario.h"

namespace flamingoshunt::benchmarks {

class crest_model {
 public:
  static constexpr base::duration kTick = 10ms;
  static constexpr base::duration kReportInterval = 250ms;
  static constexpr base::duration kReportLag = 60ms;
  static constexpr base::duration kSilenceBound = 2s;
  static constexpr base::duration kLossNoticed = 500ms;
  static constexpr int kWorkspaces = 10;
  static constexpr int kLargeWorkspaces = 2;

  crest_model(const scenario& given, const strategy& how)
      : scenario_(given), how_(how), random_(given.seed) {
    for (int i = 0; i < given.replicas; ++i)
      engines_.emplace_back(given.slots);
    for (int i = 0; i < given.nodes; ++i)
      Start(i);
    if (given.broken == fault::kSlowReplicas) {
      for (std::size_t i = 0; i < 3; ++i)
        engines_[i * 20].speed = 0.2;
    }
  }

  const std::vector<outcome>& Run() {
    const base::time_point end = Crest(scenario_.crests);
    while (now_ < end) {
      now_ += kTick;
      Break();
      Arrive();
      Return();
      Preempt();
      StepEngines();
      Report();
      Tick();
    }
    return outcomes_;
  }

  /// @return the beginning of crest @p number, from 0.
  base::time_point Crest(int number) const {
    return base::time_point(scenario_.warm_up +
                            scenario_.between_crests * (number + 1));
  }

  double Capacity() const {  // Tokens a second.
    const double step = kStepBaseSeconds + kStepPerJobSeconds * scenario_.slots;
    return scenario_.replicas * scenario_.slots / step;
  }

 private:
  struct flight {
    admission::slot_request ask;
    int node = 0;
    std::size_t engine = 0;
    double tokens = 0;
    admission::grant granted;
    base::time_point sent;
    base::time_point progressed;
    std::optional<base::time_point> first_token;
    bool holds_slot = false;
  };
  struct parcel {
    base::time_point due;
    endpoint::report report;
  };

  admission::controller Make(int node) const {
    return admission::controller_builder()
        .Self(Place(node))
        .Policy(how_.policy)
        .Queue(how_.queue)
        .ForecastDeadlines(how_.is_product)
        .AllowPreemption(how_.preempts)
        .ProvisionalNodes(static_cast<std::size_t>(scenario_.nodes))
        .Seed(scenario_.seed + static_cast<std::uint64_t>(node))
        .Build();
  }

  static routing::location Place(int node) {
    return {base::node_id("n" + std::to_string(100 + node)),
            base::failure_domain_id("d" + std::to_string(node % 3)),
            base::region_id("home")};
  }

  membership::peers_changed Peers(int node, bool is_split) const {
    membership::peers_changed all;
    for (int other = 0; other < scenario_.nodes; ++other) {
      if (other == node)
        continue;
      membership::peer each;
      each.id = Place(other).node;
      each.region = Place(other).region;
      const bool is_cut = is_split && (other % 2) != (node % 2);
      each.state = is_cut ? membership::peer_state::kDead
                          : membership::peer_state::kAlive;
      all.peers.push_back(each);
    }
    return all;
  }

  static base::entry_name Entry() { return base::entry_name("llm"); }

  static admission::catalogue_in_force Catalogue() {
    auto all = std::make_shared<catalogue::snapshot>();
    all->entries[Entry()].name = Entry();
    for (int i = 0; i < kWorkspaces; ++i) {
      const base::workspace_id id("w" + std::to_string(i));
      all->workspaces[id].id = id;
    }
    return {all, true};
  }

  replica::serving_changed Serving(std::size_t index,
                                   replica::serving_state state) const {
    replica::serving_replica each;
    each.replica = base::replica_id("r" + std::to_string(100 + index));
    each.epoch = base::epoch(1);
    each.entry = Entry();
    each.failure_domain =
        base::failure_domain_id("d" + std::to_string(index % 3));
    each.region = base::region_id("home");
    each.members = {base::instance_id("i" + std::to_string(100 + index))};
    each.slots = scenario_.slots;
    each.state = state;
    return {each};
  }

  void Start(int node) {
    const auto at = static_cast<std::size_t>(node);
    auto fresh = std::make_unique<admission::controller>(Make(node));
    if (at < nodes_.size())
      nodes_[at] = std::move(fresh);
    else
      nodes_.push_back(std::move(fresh));
    Feed(node, Peers(node, false));
    Feed(node, Catalogue());
    for (std::size_t i = 0; i < engines_.size(); ++i) {
      if (!engines_[i].is_dead)
        Feed(node, Serving(i, replica::serving_state::kServing));
    }
  }

  void Feed(int node, const admission::input& given) {
    const auto effects =
        nodes_[static_cast<std::size_t>(node)]->Handle(given, now_);
    for (const auto& each : effects) {
      if (const auto* granted = std::get_if<admission::grant>(&each))
        Granted(*granted);
      else if (const auto* refused = std::get_if<admission::refusal>(&each))
        Refused(*refused);
      else if (const auto* left = std::get_if<admission::preemption>(&each))
        preempted_.push_back(IdOf(left->request));
    }
  }

  // Cancels the streams of preempted requests and asks again for the rest of
  // their tokens, whose prompt is then longer by what they have.
  void Preempt() {
    for (const auto id : std::exchange(preempted_, {})) {
      const auto found = flights_.find(id);
      if (found == flights_.end() || !found->second.holds_slot)
        continue;
      const double done = engines_[found->second.engine].Cancel(id);
      Release(id, routing::attempt_result::kCancelled, done);
      flight& of = flights_.at(id);
      of.tokens -= done;
      of.ask.preempted = true;
      of.ask.tokens_done += static_cast<std::uint64_t>(done);
      of.ask.prompt_tokens += static_cast<std::uint64_t>(done);
      const admission::slot_request again = of.ask;
      Feed(of.node, again);
    }
  }

  static std::uint64_t IdOf(const base::request_id& request) {
    return std::stoull(request.str());
  }

  void Granted(const admission::grant& granted) {
    const std::uint64_t id = IdOf(granted.request);
    flight& of = flights_.at(id);
    of.granted = granted;
    of.engine = static_cast<std::size_t>(
                    std::stoul(granted.place.replica.str().substr(1))) -
                100;
    of.sent = of.progressed = now_;
    of.first_token.reset();
    of.holds_slot = true;
    engine_job job;
    job.id = id;
    job.priority = how_.is_product ? granted.engine_priority : 0;
    job.tokens_left = of.tokens;
    job.prompt_tokens = static_cast<double>(of.ask.prompt_tokens);
    job.prefixes = of.ask.shape.prefix_hashes;
    engines_[of.engine].Submit(std::move(job));
  }

  void Refused(const admission::refusal& refused) {
    const std::uint64_t id = IdOf(refused.request);
    outcome& result = outcomes_[id];
    result.is_refused = true;
    if (refused.retry_after && !result.is_return)
      returns_.emplace_back(now_ + *refused.retry_after, id);
    flights_.erase(id);
  }

  bool IsCrest() const {
    for (int i = 0; i < scenario_.crests; ++i) {
      if (now_ >= Crest(i) && now_ < Crest(i) + scenario_.crest_length)
        return true;
    }
    return false;
  }

  // At a crest the large workspaces bring all of the surplus.
  void Arrive() {
    const double mean =
        (1 - scenario_.straggler_part) * scenario_.short_tokens +
        scenario_.straggler_part * scenario_.short_tokens *
            scenario_.straggler_factor;
    const double rate = scenario_.load * Capacity() / mean;
    const double seconds = std::chrono::duration<double>(kTick).count();
    const auto count = [&](double mean_count) {
      return boost::random::poisson_distribution<int>(mean_count)(random_);
    };
    for (int i = count(rate * seconds); i > 0; --i) {
      const bool is_large = base::RandomUnit(random_) < 0.6;
      Ask(is_large, std::nullopt);
    }
    if (!IsCrest())
      return;
    for (int i = count(rate * seconds * (scenario_.crest_factor - 1)); i > 0;
         --i)
      Ask(true, std::nullopt);
  }

  void Ask(bool is_large, std::optional<std::uint64_t> returning) {
    const std::uint64_t id = outcomes_.size();
    outcome result;
    result.arrived = now_;
    flight of;
    of.ask.shape.request = base::request_id(std::to_string(id));
    of.ask.shape.entry = Entry();
    of.ask.shape.fingerprint = base::fingerprint(id + 1);
    result.is_straggler = base::RandomUnit(random_) < scenario_.straggler_part;
    result.workspace =
        is_large
            ? static_cast<int>(base::RandomIndex(random_, kLargeWorkspaces))
            : kLargeWorkspaces + static_cast<int>(base::RandomIndex(
                                     random_, kWorkspaces - kLargeWorkspaces));
    if (returning) {
      result.is_return = true;
      result.is_straggler = outcomes_[*returning].is_straggler;
      result.workspace = outcomes_[*returning].workspace;
    }
    of.ask.shape.workspace =
        base::workspace_id("w" + std::to_string(result.workspace));
    Shape(result, of);
    of.node = static_cast<int>(
        base::RandomIndex(random_, static_cast<std::size_t>(scenario_.nodes)));
    result.cost = of.tokens;
    outcomes_.push_back(result);
    flights_[id] = of;
    Feed(of.node, of.ask);
  }

  // Most callers bound what they ask for; some of both kinds say nothing.
  void Shape(const outcome& result, flight& of) {
    constexpr double kSigma = 0.5;
    const double mean = result.is_straggler ? scenario_.short_tokens *
                                                  scenario_.straggler_factor
                                            : scenario_.short_tokens;
    of.tokens =
        std::max(1.0, mean * boost::random::lognormal_distribution<double>(
                                 -kSigma * kSigma / 2, kSigma)(random_));
    const double telling = base::RandomUnit(random_);
    if (result.is_straggler)
      of.ask.max_tokens = telling < 0.7 ? 8'192 : 0;
    else
      of.ask.max_tokens = telling < 0.02 ? 8'192 : telling < 0.12 ? 0 : 512;
    of.ask.prompt_tokens = static_cast<std::uint64_t>(scenario_.prompt_tokens);
    of.ask.resumable = true;
    of.ask.deadline = now_ + (result.is_straggler ? scenario_.long_deadline
                                                  : scenario_.short_deadline);
    if (scenario_.prefix_groups > 0) {
      const std::uint64_t group = base::RandomIndex(
          random_, static_cast<std::size_t>(scenario_.prefix_groups));
      for (std::uint64_t i = 1; i <= 4; ++i)
        of.ask.shape.prefix_hashes.push_back(group * 16 + i);
    }
  }

  void Return() {
    std::vector<std::uint64_t> due;
    std::erase_if(returns_, [&](const auto& each) {
      if (each.first <= now_)
        due.push_back(each.second);
      return each.first <= now_;
    });
    for (const auto id : due)
      Ask(true, id);
  }

  void StepEngines() {
    const double seconds = std::chrono::duration<double>(kTick).count();
    std::vector<engine_job> done;
    for (auto& engine : engines_) {
      engine.Step(
          seconds,
          [this](const engine_job& job) {
            outcome& result = outcomes_[job.id];
            if (!result.started)
              result.started = now_;
            result.is_hit = job.is_hit;
          },
          [&done](const engine_job& job) { done.push_back(job); });
    }
    for (const auto& job : done) {
      outcomes_[job.id].finished = now_;
      Release(job.id, routing::attempt_result::kCompleted, job.tokens_done);
      flights_.erase(job.id);
    }
  }

  void Release(std::uint64_t id,
               routing::attempt_result result,
               double tokens) {
    flight& of = flights_.at(id);
    if (!std::exchange(of.holds_slot, false))
      return;
    admission::release given;
    given.finished.request = of.ask.shape.request;
    given.finished.replica = of.granted.place.replica;
    given.finished.epoch = of.granted.place.epoch;
    given.finished.fingerprint = of.ask.shape.fingerprint;
    given.finished.result = result;
    given.finished.to_first_token = of.first_token.value_or(now_) - of.sent;
    given.finished.total = now_ - of.sent;
    given.finished.tokens = static_cast<std::uint64_t>(tokens);
    Feed(of.node, given);
  }

  void RetryElsewhere(std::uint64_t id, routing::attempt_result result) {
    const auto found = flights_.find(id);
    if (found == flights_.end())
      return;
    engines_[found->second.engine].Cancel(id);
    Release(id, result, 0);
    flight& of = flights_.at(id);
    of.ask.shape.excluded.push_back(of.granted.place.replica);
    ++of.ask.attempt;
    const admission::slot_request again = of.ask;
    Feed(of.node, again);
  }

  // Progress of every stream, once a second, and the bound on silence.
  void Progress() {
    for (auto& engine : engines_) {
      for (auto& job : engine.batch()) {
        const auto found = flights_.find(job.id);
        if (found == flights_.end() || job.tokens_done <= job.tokens_told)
          continue;
        flight& of = found->second;
        if (!of.first_token)
          of.first_token = now_;
        of.progressed = now_;
        const auto tokens =
            static_cast<std::uint64_t>(job.tokens_done - job.tokens_told);
        job.tokens_told += static_cast<double>(tokens);
        if (tokens > 0)
          Feed(of.node, admission::progress{of.ask.shape.request, tokens});
      }
    }
  }

  void Report() {
    const auto step = now_.time_since_epoch() / kTick;
    // First tokens are seen at the granularity of a tenth of a second.
    if (step % (100ms / kTick) == 0)
      Progress();
    if (step % (1s / kTick) == 0)
      GiveUpOnSilence();
    if (step % (kReportInterval / kTick) == 0)
      Measure();
    while (!reports_.empty() && reports_.front().due <= now_) {
      const parcel next = reports_.front();
      reports_.pop_front();
      for (int node = 0; node < scenario_.nodes; ++node)
        Feed(node, next.report);
    }
  }

  void GiveUpOnSilence() {
    std::vector<std::uint64_t> silent;
    for (const auto& [id, of] : flights_) {
      if (of.holds_slot && engines_[of.engine].is_paused &&
          now_ - of.progressed > kSilenceBound && of.ask.attempt < 3)
        silent.push_back(id);
    }
    std::sort(silent.begin(), silent.end());
    for (const auto id : silent)
      RetryElsewhere(id, routing::attempt_result::kSlow);
  }

  void Measure() {
    const base::duration age = scenario_.broken == fault::kOldReports
                                   ? base::duration(5s)
                                   : base::duration(kReportLag);
    ++report_sequence_;
    for (std::size_t i = 0; i < engines_.size(); ++i) {
      engine_model& engine = engines_[i];
      if (engine.is_dead || engine.is_paused)
        continue;
      const auto serving = Serving(i, replica::serving_state::kServing).replica;
      endpoint::report report;
      report.instance = serving.members[0];
      report.replica = serving.replica;
      report.epoch = serving.epoch;
      report.entry = serving.entry;
      report.state = endpoint::member_state::kReady;
      report.sequence = report_sequence_;
      report.age = age;
      report.load.running = static_cast<int>(engine.batch().size());
      report.load.queued = static_cast<int>(engine.queued());
      reports_.push_back({now_ + age, report});
      TellCache(i, serving.members[0]);
    }
  }

  void TellCache(std::size_t index, const base::instance_id& instance) {
    auto [added, removed] = engines_[index].TakeCacheChanges();
    if (added.empty() && removed.empty())
      return;
    const endpoint::cache_event event{instance, ++cache_sequence_[index],
                                      std::move(added), std::move(removed)};
    // One event in twenty is lost.
    if (base::RandomUnit(random_) < 0.05)
      return;
    for (int node = 0; node < scenario_.nodes; ++node)
      Feed(node, event);
  }

  void Tick() {
    if ((now_.time_since_epoch() / kTick) % (50ms / kTick) != 0)
      return;
    for (int node = 0; node < scenario_.nodes; ++node)
      Feed(node, admission::tick{});
  }

  void Break() {
    const bool at_first_crest = now_ == Crest(0);
    switch (scenario_.broken) {
      case fault::kPausedReplicas:
        for (int i = 0; i < scenario_.crests; ++i) {
          if (now_ == Crest(i) || now_ == Crest(i) + 10s) {
            engines_[3].is_paused = now_ == Crest(i);
            engines_[33].is_paused = now_ == Crest(i);
          }
        }
        break;
      case fault::kLostDomain:
        LoseDomain();
        break;
      case fault::kPartition:
        if (now_ == Crest(0) - 10s) {
          for (int node = 0; node < scenario_.nodes; ++node)
            Feed(node, Peers(node, true));
        }
        break;
      case fault::kPlatformOutage:
        if (at_first_crest)
          Replace(0);
        break;
      default:
        break;
    }
  }

  // A replaced node loses its connections; its requests end with it.
  void Replace(int node) {
    std::vector<std::uint64_t> lost;
    for (const auto& [id, of] : flights_) {
      if (of.node == node)
        lost.push_back(id);
    }
    for (const auto id : lost) {
      if (flights_.at(id).holds_slot)
        engines_[flights_.at(id).engine].Cancel(id);
      flights_.erase(id);
    }
    Start(node);
  }

  void LoseDomain() {
    if (now_ == Crest(0)) {
      std::vector<std::uint64_t> broken;
      for (std::size_t i = 0; i < engines_.size(); i += 3)
        engines_[i].is_dead = true;
      for (const auto& [id, of] : flights_) {
        if (of.holds_slot && engines_[of.engine].is_dead)
          broken.push_back(id);
      }
      std::sort(broken.begin(), broken.end());
      for (const auto id : broken)
        RetryElsewhere(id, routing::attempt_result::kBroken);
    }
    if (now_ != Crest(0) + kLossNoticed)
      return;
    for (std::size_t i = 0; i < engines_.size(); i += 3) {
      for (int node = 0; node < scenario_.nodes; ++node)
        Feed(node, Serving(i, replica::serving_state::kGone));
    }
    // What was sent there in the meantime never connected.
    std::vector<std::uint64_t> unsent;
    for (const auto& [id, of] : flights_) {
      if (of.holds_slot && engines_[of.engine].is_dead)
        unsent.push_back(id);
    }
    std::sort(unsent.begin(), unsent.end());
    for (const auto id : unsent)
      RetryElsewhere(id, routing::attempt_result::kNotStarted);
  }

  scenario scenario_;
  strategy how_;
  base::random_engine random_;
  base::time_point now_{};
  std::vector<engine_model> engines_;
  std::vector<std::unique_ptr<admission::controller>> nodes_;
  std::unordered_map<std::uint64_t, flight> flights_;
  std::vector<outcome> outcomes_;
  std::vector<std::pair<base::time_point, std::uint64_t>> returns_;
  std::deque<parcel> reports_;
  std::vector<std::uint64_t> preempted_;
  std::unordered_map<std::size_t, std::uint64_t> cache_sequence_;
  std::uint64_t report_sequence_ = 0;
};

}  // namespace flamingoshunt::benchmarks

#endif  // FLAMINGOSHUNT_BENCHMARKS_CREST_MODEL_H_
