#include "catalogue/peer_statements.h"

#include <algorithm>
#include <charconv>
#include <functional>
#include <limits>

#include "base/checked_json.h"
#include "base/hash.h"

namespace flamingoshunt::catalogue {
namespace {

constexpr std::int64_t kMaxAge = 60000;  // milliseconds
constexpr int kHexadecimal = 16;

std::string Hex(std::uint64_t number) {
  char digits[kHexadecimal];
  const auto end =
      std::to_chars(digits, digits + kHexadecimal, number, kHexadecimal).ptr;
  return std::string(digits, end);
}

std::optional<std::uint64_t> ParseHex(const std::string& text) {
  std::uint64_t number = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number, kHexadecimal);
  if (text.empty() || parsed.ec != std::errc() || parsed.ptr != end)
    return std::nullopt;
  return number;
}

}  // namespace

std::string EncodeStatement(const statement& said) {
  boost::json::object json{{"version", said.version},
                           {"digest", Hex(said.digest)}};
  if (said.platform_age) {
    using std::chrono::milliseconds;
    json["age_ms"] =
        std::chrono::ceil<milliseconds>(*said.platform_age).count();
  }
  return boost::json::serialize(json);
}

std::optional<statement> DecodeStatement(std::string_view text) {
  base::json_problems problems;
  const auto json = base::ParseJson(text, problems);
  if (!json)
    return std::nullopt;
  base::object_reader reader(*json, "", problems);
  statement said;
  said.version = static_cast<std::uint64_t>(
      reader.Integer("version", 0, std::numeric_limits<std::int64_t>::max()));
  const auto digest = ParseHex(reader.String("digest"));
  if (reader.Has("age_ms"))
    said.platform_age =
        std::chrono::milliseconds(reader.Integer("age_ms", 0, kMaxAge));
  reader.Finish();
  if (!digest || !problems.empty())
    return std::nullopt;
  said.digest = *digest;
  return said;
}

void peer_statements::SetPeers(const std::vector<membership::peer>& peers) {
  live_.clear();
  known_.clear();
  ranks_.clear();
  for (const membership::peer& each : peers) {
    if (each.state == membership::peer_state::kAlive)
      live_.push_back(each.id);
    if (each.state != membership::peer_state::kLeft)
      known_.push_back(each.id);
    else
      heard_.erase(each.id);
  }
}

void peer_statements::Take(const base::node_id& origin,
                           const statement& said,
                           base::time_point now) {
  if (origin == self_)
    return;
  if (heard_.size() >= kMaxOrigins && !heard_.contains(origin))
    return;
  heard_[origin] = {said, now};
  highest_version_ = std::max(highest_version_, said.version);
  if (said.platform_age && said.digest == proven_digest_) {
    const base::time_point proven = now - *said.platform_age;
    proof_ = proof_ ? std::max(*proof_, proven) : proven;
  }
}

std::optional<base::time_point> peer_statements::PlatformProof(
    std::uint64_t digest) const {
  if (digest == proven_digest_)
    return proof_;
  proven_digest_ = digest;
  proof_.reset();
  for (const auto& [origin, heard] : heard_) {
    if (!heard.said.platform_age || heard.said.digest != digest)
      continue;
    const base::time_point proven = heard.at - *heard.said.platform_age;
    proof_ = proof_ ? std::max(*proof_, proven) : proven;
  }
  return proof_;
}

std::optional<base::time_point> peer_statements::MajorityProof(
    std::uint64_t digest) const {
  // Of all known nodes and this one, more than half must agree; this one does.
  const std::size_t needed = (known_.size() + 1) / 2;
  if (needed == 0)
    return std::nullopt;
  std::vector<base::time_point> agreed;
  for (const base::node_id& id : known_) {
    const auto found = heard_.find(id);
    if (found != heard_.end() && found->second.said.digest == digest)
      agreed.push_back(found->second.at);
  }
  if (agreed.size() < needed)
    return std::nullopt;
  const auto nth = agreed.begin() + static_cast<std::ptrdiff_t>(needed - 1);
  std::nth_element(agreed.begin(), nth, agreed.end(), std::greater<>());
  return *nth;
}

std::vector<base::node_id> peer_statements::Lagging(
    std::uint64_t version) const {
  std::vector<base::node_id> lagging;
  for (const base::node_id& id : live_) {
    const auto found = heard_.find(id);
    if (found == heard_.end() || found->second.said.version < version)
      lagging.push_back(id);
  }
  return lagging;
}

std::optional<std::uint64_t> peer_statements::LowestLaggingVersion(
    std::uint64_t version) const {
  std::optional<std::uint64_t> lowest;
  for (const base::node_id& id : live_) {
    const auto found = heard_.find(id);
    if (found == heard_.end())
      continue;
    const std::uint64_t said = found->second.said.version;
    if (said > 0 && said < version)
      lowest = lowest ? std::min(*lowest, said) : said;
  }
  return lowest;
}

std::size_t peer_statements::Rank(std::string_view key) const {
  const auto known = ranks_.find(key);
  if (known != ranks_.end())
    return known->second;
  const std::uint64_t seed = base::Hash64(key);
  const std::uint64_t own = base::Hash64(self_.str(), seed);
  const auto rank = static_cast<std::size_t>(
      std::count_if(live_.begin(), live_.end(), [&](const base::node_id& id) {
        return base::Hash64(id.str(), seed) > own;
      }));
  if (ranks_.size() >= kMaxRanks)
    ranks_.clear();
  ranks_.emplace(key, rank);
  return rank;
}

}  // namespace flamingoshunt::catalogue
