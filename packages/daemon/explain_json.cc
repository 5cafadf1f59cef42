#include "daemon/explain_json.h"

#include <charconv>
#include <string>
#include <utility>

#include "base/milliseconds.h"

namespace flamingoshunt::daemon {
namespace {

bool ReadCount(std::string_view text, std::int64_t& count) {
  const auto parsed =
      std::from_chars(text.data(), text.data() + text.size(), count);
  return parsed.ec == std::errc() && parsed.ptr == text.data() + text.size() &&
         count >= 0;
}

bool ReadMember(std::string_view name,
                std::string_view value,
                gateway::described_request& request) {
  const std::pair<const char*, std::string*> texts[] = {
      {"host", &request.host},
      {"path", &request.path},
      {"model", &request.model}};
  for (const auto& [known, text] : texts) {
    if (name == known) {
      *text = value;
      return true;
    }
  }
  const std::pair<const char*, std::int64_t*> counts[] = {
      {"prompt", &request.prompt_tokens},
      {"output", &request.max_output_tokens},
      {"hint", &request.hinted_output_tokens}};
  for (const auto& [known, count] : counts) {
    if (name == known)
      return ReadCount(value, *count);
  }
  return false;
}

boost::json::object CandidateJson(const gateway::explained_candidate& each) {
  const gateway::work_estimate& expected = each.cost.expected;
  return {{"instance", each.instance.str()},
          {"group", each.group},
          {"out", each.out},
          {"running", each.load.running},
          {"free_slots", each.free_slots},
          {"unread_tokens", each.load.pending_prompt_tokens},
          {"unwritten_tokens", each.load.pending_output_tokens},
          {"cost", each.cost.Sum()},
          {"own", each.cost.own_ms},
          {"late", each.cost.late_ms},
          {"others", each.cost.others_ms},
          {"first_event_ms", base::WholeMilliseconds(expected.first_event)},
          {"end_ms", base::WholeMilliseconds(expected.total)}};
}

}  // namespace

std::optional<gateway::described_request> ParseExplainQuery(
    std::string_view query) {
  gateway::described_request request;
  while (!query.empty()) {
    const std::string_view member = query.substr(0, query.find('&'));
    query.remove_prefix(std::min(query.size(), member.size() + 1));
    const std::size_t equals = member.find('=');
    if (equals == std::string_view::npos ||
        !ReadMember(member.substr(0, equals), member.substr(equals + 1),
                    request))
      return std::nullopt;
  }
  if (request.host.empty() || request.path.empty())
    return std::nullopt;
  return request;
}

boost::json::object ToJson(const gateway::placement_explanation& explanation) {
  if (!explanation.error.empty())
    return {{"error", explanation.error}};
  boost::json::array candidates;
  for (const gateway::explained_candidate& each : explanation.candidates)
    candidates.push_back(CandidateJson(each));
  boost::json::object out{
      {"route", explanation.route},
      {"service", explanation.service},
      {"pool", explanation.pool},
      {"queued_here", explanation.queued_here},
      {"queued_at_peers", explanation.queued_at_peers},
      {"expected_output_tokens", explanation.expected_output_tokens},
      {"decision", "queue"},
      {"candidates", std::move(candidates)}};
  if (explanation.granted) {
    out["decision"] = "place";
    out["instance"] = explanation.granted->replica.instance.str();
    out["first_event_ms"] =
        base::WholeMilliseconds(explanation.granted->expected.first_event);
    out["end_ms"] =
        base::WholeMilliseconds(explanation.granted->expected.total);
  } else if (explanation.refused) {
    out["decision"] = "refuse";
    out["reason"] = gateway::NameOf(explanation.refused->reason);
    out["retry_after_ms"] =
        base::WholeMilliseconds(explanation.refused->retry_after);
  }
  return out;
}

}  // namespace flamingoshunt::daemon
