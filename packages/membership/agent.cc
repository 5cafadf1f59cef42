#include "membership/agent.h"

#include <algorithm>

#include "base/hash.h"

namespace flamingoshunt::membership {
namespace {

constexpr std::size_t kMaxUnanswered = 1024;  // requests and calls each

void CheckName(const char* setting, const std::string& value) {
  const bool printable = std::all_of(
      value.begin(), value.end(), [](char c) { return c > ' ' && c <= '~'; });
  if (value.empty() || value.size() > kMaxNameLength || !printable)
    throw membership_settings_error(
        std::string(setting) + ": \"" + value.substr(0, 80) +
        "\": must have from 1 to " + std::to_string(kMaxNameLength) +
        " printable ASCII characters");
}

void CheckPositive(const char* setting, base::duration value) {
  if (value <= base::duration::zero())
    throw membership_settings_error(std::string(setting) + ": " +
                                    std::to_string(value.count()) +
                                    " ns: must be positive");
}

void CheckTiming(const timing& times) {
  CheckPositive("probe_period_step", times.probe_period_step);
  CheckPositive("direct_timeout", times.direct_timeout);
  CheckPositive("cross_region_timeout", times.cross_region_timeout);
  CheckPositive("suspicion_step", times.suspicion_step);
  CheckPositive("dead_retention", times.dead_retention);
  CheckPositive("orphan_retention", times.orphan_retention);
  CheckPositive("sweep_delay", times.sweep_delay);
  // A helper needs the time of its own probe before it can answer.
  if (times.indirect_timeout <= times.cross_region_timeout ||
      times.indirect_timeout > kMaxAnswerDelay)
    throw membership_settings_error(
        "indirect_timeout: " + std::to_string(times.indirect_timeout.count()) +
        " ns: must exceed cross_region_timeout and be at most 2 s");
}

}  // namespace

agent::agent(peer self,
             authenticator signer,
             timing times,
             spread_budget budget,
             base::random_engine random)
    : machine_(self, times, budget, random),
      codec_(self.id, std::move(signer), self.incarnation) {}

effects agent::Start(base::time_point now) {
  return Encode(machine_.Start(now));
}

effects agent::Handle(const peer_request& input, base::time_point now) {
  try {
    decoded_request request = codec_.DecodeRequest(input.body);
    if (unanswered_.size() >= kMaxUnanswered)
      throw peer_message_error(
          "requests under way: " + std::to_string(unanswered_.size()) +
          ": must be fewer");
    unanswered_[input.handle] = request.origin;
    return Encode(
        machine_.Handle(typed_request{input.handle, request.origin.from,
                                      std::move(request.message)},
                        now));
  } catch (const peer_message_error& error) {
    CountRefusal(error);
    effects refused;
    refused.answers.push_back({input.handle, codec_.EncodeRefusal(error)});
    return refused;
  }
}

effects agent::Handle(const peer_call_answered& input, base::time_point now) {
  const auto found = calls_.find(input.id);
  if (found == calls_.end())
    return {};
  const request_origin asked = found->second;
  calls_.erase(found);
  try {
    answer given = codec_.DecodeAnswer(asked, input.body);
    return Encode(
        machine_.Handle(typed_call_answered{input.id, std::move(given)}, now));
  } catch (const peer_message_error& error) {
    CountRefusal(error);
    return Encode(machine_.Handle(peer_call_failed{input.id}, now));
  }
}

effects agent::Handle(const peer_call_failed& input, base::time_point now) {
  calls_.erase(input.id);
  return Encode(machine_.Handle(input, now));
}

effects agent::Handle(const store::reply& input, base::time_point now) {
  return Encode(machine_.Handle(input, now));
}

effects agent::Handle(const publish& input, base::time_point now) {
  return Encode(machine_.Handle(input, now));
}

effects agent::Handle(const leave& input, base::time_point now) {
  return Encode(machine_.Handle(input, now));
}

effects agent::Handle(const tick& input, base::time_point now) {
  return Encode(machine_.Handle(input, now));
}

std::optional<base::time_point> agent::NextTimer() const {
  return machine_.NextTimer();
}

effects agent::Encode(machine_effects made) {
  effects encoded;
  for (const typed_call& call : made.calls) {
    const encoded_request request = codec_.EncodeRequest(call.to, call.message);
    // An answer that never comes leaves its entry; the oldest goes first.
    if (calls_.size() >= kMaxUnanswered)
      calls_.erase(calls_.begin());
    calls_[call.id] = {call.to, request.counter};
    encoded.calls.push_back(
        {call.id, call.to, call.address, request.body, call.timeout});
  }
  for (const typed_answer& given : made.answers) {
    const auto found = unanswered_.find(given.handle);
    if (found == unanswered_.end())
      continue;
    encoded.answers.push_back(
        {given.handle, codec_.EncodeAnswer(found->second, given.message)});
    unanswered_.erase(found);
  }
  encoded.platform_calls = std::move(made.platform_calls);
  encoded.items = std::move(made.items);
  encoded.peers = std::move(made.peers);
  encoded.changes = std::move(made.changes);
  encoded.left = made.left;
  return encoded;
}

void agent::CountRefusal(const peer_message_error& error) {
  if (dynamic_cast<const peer_replay_error*>(&error))
    ++refusals_.replayed;
  else if (dynamic_cast<const peer_authentication_error*>(&error))
    ++refusals_.unauthenticated;
  else
    ++refusals_.unreadable;
}

agent_builder& agent_builder::Node(base::node_id id) {
  self_.id = std::move(id);
  return *this;
}

agent_builder& agent_builder::Address(std::string address) {
  self_.address = std::move(address);
  return *this;
}

agent_builder& agent_builder::FailureDomain(base::failure_domain_id domain) {
  self_.failure_domain = std::move(domain);
  return *this;
}

agent_builder& agent_builder::Region(base::region_id region) {
  self_.region = std::move(region);
  return *this;
}

agent_builder& agent_builder::Incarnation(std::uint64_t incarnation) {
  self_.incarnation = incarnation;
  return *this;
}

agent_builder& agent_builder::ClusterKeys(std::vector<std::string> keys) {
  keys_ = std::move(keys);
  return *this;
}

agent_builder& agent_builder::Timing(timing times) {
  times_ = times;
  return *this;
}

agent_builder& agent_builder::SpreadBudget(spread_budget budget) {
  budget_ = budget;
  return *this;
}

agent_builder& agent_builder::Random(base::random_engine random) {
  random_ = random;
  return *this;
}

std::unique_ptr<agent> agent_builder::Build() const {
  CheckName("node", self_.id.str());
  CheckName("address", self_.address);
  CheckName("failure_domain", self_.failure_domain.str());
  CheckName("region", self_.region.str());
  CheckTiming(times_);
  if (budget_.bytes_per_second <= 0 || budget_.burst_bytes <= 0)
    throw membership_settings_error(
        "spread budget: " + std::to_string(budget_.bytes_per_second) +
        " bytes/s: must be positive");
  return std::unique_ptr<agent>(
      new agent(self_, authenticator(keys_), times_, budget_, random_));
}

}  // namespace flamingoshunt::membership
