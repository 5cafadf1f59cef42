#include "routing/quarantine.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "base/checked_json.h"

namespace flamingoshunt::routing {

namespace {

using std::chrono::seconds;

constexpr const char* kTopic = "crash";
/// A request with more crashes than this is quarantined.
constexpr std::size_t kCrashesTolerated = 1;
/// Items that one node publishes in rotation; a new item overwrites the oldest.
constexpr std::size_t kItemSlots = 32;
/// Fingerprints per published crash; keeps the item below 4 KiB.
constexpr std::size_t kMaxPerEvent = 64;
/// When at least this many replicas crash within the window, the cause is not a
/// single request.
constexpr std::size_t kMassLossReplicas = 4;
constexpr base::duration kMassLossWindow = seconds(3);
/// Lifetime of a claim or attempt of another node without further items.
constexpr base::duration kClaimLifetime = seconds(60);
constexpr std::size_t kMaxEvents = 64;
constexpr std::size_t kMaxPeerClaims = 1'024;
constexpr std::int64_t kMaxEpoch = std::int64_t{1} << 62;

std::string Hex(base::fingerprint fingerprint) {
  std::string text(16, '0');
  std::uint64_t remaining_bits = fingerprint.value();
  for (auto digit = text.rbegin(); digit != text.rend();
       ++digit, remaining_bits >>= 4)
    *digit = "0123456789abcdef"[remaining_bits & 15];
  return text;
}

std::optional<base::fingerprint> ParseHex(const std::string& text) {
  std::uint64_t value = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value, 16);
  if (error != std::errc() || end != text.data() + text.size())
    return std::nullopt;
  return base::fingerprint(value);
}

}  // namespace

quarantine::quarantine(base::node_id self) : self_(std::move(self)) {}

std::size_t quarantine::history::UnclearedCount() const {
  return static_cast<std::size_t>(std::count_if(
      crashes.begin(), crashes.end(),
      [this](const auto& crash) { return !cleared.contains(crash); }));
}

quarantine::history* quarantine::FindCurrent(base::fingerprint fingerprint,
                                             base::time_point now) {
  const auto it = histories_.find(fingerprint);
  if (it == histories_.end())
    return nullptr;
  const base::duration retention =
      it->second.UnclearedCount() > kCrashesTolerated ? kQuarantineTime
                                                      : kSuspicionTime;
  if (now - it->second.last_update < retention)
    return &it->second;
  histories_.erase(it);
  return nullptr;
}

quarantine_state quarantine::Classify(base::fingerprint fingerprint,
                                      base::time_point now) {
  const history* crash_history = FindCurrent(fingerprint, now);
  if (!crash_history || crash_history->UnclearedCount() == 0)
    return quarantine_state::kClear;
  return crash_history->UnclearedCount() > kCrashesTolerated
             ? quarantine_state::kQuarantined
             : quarantine_state::kSuspect;
}

base::duration quarantine::Remaining(base::fingerprint fingerprint,
                                     base::time_point now) {
  if (Classify(fingerprint, now) != quarantine_state::kQuarantined)
    return base::duration::zero();
  return histories_.at(fingerprint).last_update + kQuarantineTime - now;
}

void quarantine::RecordStart(base::fingerprint fingerprint) {
  ++running_[fingerprint];
}

void quarantine::RecordEnd(base::fingerprint fingerprint) {
  const auto it = running_.find(fingerprint);
  if (it == running_.end() || --it->second > 0)
    return;
  running_.erase(it);
  if (published_busy_.contains(fingerprint))
    PublishBusy(fingerprint, false);
}

void quarantine::AddCrash(base::fingerprint fingerprint,
                          const crash_id& id,
                          base::time_point now) {
  history& crash_history = histories_[fingerprint];
  if (crash_history.crashes.insert(id).second)
    crash_history.last_update = now;
  EvictOldest();
}

void quarantine::EvictOldest() {
  while (histories_.size() > kMaxFingerprints) {
    // Evicts the oldest history that is not quarantined first.
    const auto oldest = std::min_element(
        histories_.begin(), histories_.end(),
        [](const auto& left, const auto& right) {
          return std::pair(left.second.UnclearedCount() > kCrashesTolerated,
                           left.second.last_update) <
                 std::pair(right.second.UnclearedCount() > kCrashesTolerated,
                           right.second.last_update);
        });
    histories_.erase(oldest);
  }
}

void quarantine::AddCrashEvent(base::fingerprint fingerprint,
                               const crash_id& id,
                               base::time_point now) {
  auto event =
      std::find_if(events_.begin(), events_.end(),
                   [&id](const auto& candidate) { return candidate.id == id; });
  if (event == events_.end()) {
    events_.push_back({id, now, {}, NextItemSlot()});
    if (events_.size() > kMaxEvents)
      events_.pop_front();
    event = std::prev(events_.end());
  }
  auto& fingerprints = event->fingerprints;
  if (std::find(fingerprints.begin(), fingerprints.end(), fingerprint) ==
          fingerprints.end() &&
      fingerprints.size() < kMaxPerEvent)
    fingerprints.push_back(fingerprint);
}

void quarantine::RecordCrash(base::fingerprint fingerprint,
                             const base::replica_id& replica,
                             base::epoch epoch,
                             base::time_point now) {
  const crash_id id{replica, epoch};
  AddCrash(fingerprint, id, now);
  AddCrashEvent(fingerprint, id, now);
  const auto event =
      std::find_if(events_.begin(), events_.end(),
                   [&id](const auto& candidate) { return candidate.id == id; });
  PublishCrash(*event);
  ClearMassLoss(now);
}

// Many replicas that fail together without a common request indicate the loss
// of a failure domain or a switch. Running hundreds of suspects alone would
// then keep the remaining replicas from all other requests.
void quarantine::ClearMassLoss(base::time_point now) {
  std::set<base::replica_id> lost;
  for (const auto& event : events_) {
    const bool has_repeated =
        std::any_of(event.fingerprints.begin(), event.fingerprints.end(),
                    [this](base::fingerprint fingerprint) {
                      const auto it = histories_.find(fingerprint);
                      return it != histories_.end() &&
                             it->second.UnclearedCount() > kCrashesTolerated;
                    });
    if (now - event.when < kMassLossWindow && !has_repeated)
      lost.insert(event.id.replica);
  }
  if (lost.size() < kMassLossReplicas)
    return;
  for (const auto& event : events_) {
    if (now - event.when >= kMassLossWindow || !lost.contains(event.id.replica))
      continue;
    for (const auto fingerprint : event.fingerprints) {
      const auto it = histories_.find(fingerprint);
      if (it != histories_.end())
        it->second.cleared.insert(event.id);
    }
  }
}

void quarantine::ClearCrashes(history& crash_history, base::time_point now) {
  crash_history.cleared.insert(crash_history.crashes.begin(),
                               crash_history.crashes.end());
  crash_history.last_update = now;
}

void quarantine::RecordCompletion(base::fingerprint fingerprint,
                                  base::time_point now) {
  history* crash_history = FindCurrent(fingerprint, now);
  if (!crash_history || crash_history->UnclearedCount() == 0)
    return;
  ClearCrashes(*crash_history, now);
  PublishCleared(fingerprint, *crash_history);
}

void quarantine::Lift(base::fingerprint fingerprint, base::time_point now) {
  history* crash_history = FindCurrent(fingerprint, now);
  if (!crash_history)
    return;
  ClearCrashes(*crash_history, now);
  PublishCleared(fingerprint, *crash_history);
}

void quarantine::Claim(base::fingerprint fingerprint,
                       const base::replica_id& replica,
                       base::time_point now) {
  const claim own{self_, fingerprint, replica, true, now};
  const std::size_t slot = NextItemSlot();
  own_claims_[fingerprint] = {own, slot};
  PublishClaim(own, slot);
}

void quarantine::WithdrawClaim(base::fingerprint fingerprint) {
  const auto it = own_claims_.find(fingerprint);
  if (it == own_claims_.end())
    return;
  it->second.first.open = false;
  PublishClaim(it->second.first, it->second.second);
  own_claims_.erase(it);
}

bool quarantine::IsClaimLost(base::fingerprint fingerprint,
                             const base::replica_id& replica,
                             base::time_point now) const {
  return std::any_of(
      peer_claims_.begin(), peer_claims_.end(), [&](const auto& entry) {
        const claim& other = entry.second;
        const bool conflicts =
            other.fingerprint == fingerprint || other.replica == replica;
        return other.open && conflicts && now - other.since < kClaimLifetime &&
               std::pair(other.fingerprint, other.node) <
                   std::pair(fingerprint, self_);
      });
}

// An attempt that just ended on another node counts as running until the item
// about its result must have arrived.
bool quarantine::IsRunning(base::fingerprint fingerprint,
                           base::time_point now) const {
  if (running_.contains(fingerprint))
    return true;
  return std::any_of(
      peer_busy_.begin(), peer_busy_.end(), [&](const auto& entry) {
        const claim& other = entry.second;
        return other.fingerprint == fingerprint &&
               now - other.since <
                   (other.open ? kClaimLifetime : kPropagationTime);
      });
}

std::size_t quarantine::NextItemSlot() {
  return next_item_slot_++ % kItemSlots;
}

void quarantine::PublishCrash(const crash_event& event) {
  boost::json::array fingerprints;
  for (const auto fingerprint : event.fingerprints)
    fingerprints.emplace_back(Hex(fingerprint));
  boost::json::object value;
  value["replica"] = event.id.replica.str();
  value["epoch"] = static_cast<std::int64_t>(event.id.epoch.value());
  value["fingerprints"] = std::move(fingerprints);
  publications_.push_back({kTopic, "event " + std::to_string(event.slot),
                           boost::json::serialize(value)});
}

void quarantine::PublishCleared(base::fingerprint fingerprint,
                                const history& crash_history) {
  boost::json::array crashes;
  for (const auto& crash : crash_history.cleared) {
    boost::json::object id;
    id["replica"] = crash.replica.str();
    id["epoch"] = static_cast<std::int64_t>(crash.epoch.value());
    crashes.push_back(std::move(id));
  }
  boost::json::object value;
  value["fingerprint"] = Hex(fingerprint);
  value["crashes"] = std::move(crashes);
  publications_.push_back({kTopic, "cleared " + std::to_string(NextItemSlot()),
                           boost::json::serialize(value)});
}

void quarantine::PublishBusy(base::fingerprint fingerprint, bool open) {
  const auto [entry, is_new] = published_busy_.try_emplace(fingerprint, 0);
  if (is_new)
    entry->second = NextItemSlot();
  PublishClaim({self_, fingerprint, {}, open, {}}, entry->second);
  publications_.back().key = "busy " + std::to_string(entry->second);
  if (!open)
    published_busy_.erase(fingerprint);
}

void quarantine::PublishClaim(const claim& published, std::size_t slot) {
  boost::json::object value;
  value["fingerprint"] = Hex(published.fingerprint);
  value["replica"] = published.replica.str();
  value["open"] = published.open;
  publications_.push_back(
      {kTopic, "claim " + std::to_string(slot), boost::json::serialize(value)});
}

std::vector<membership::publish> quarantine::TakePublications() {
  return std::exchange(publications_, {});
}

std::optional<quarantine::peer_claim> quarantine::Apply(
    const membership::item& item,
    base::time_point now) {
  if (item.topic != kTopic || item.origin == self_)
    return std::nullopt;
  if (item.key.starts_with("event ")) {
    ApplyCrash(item, now);
    return std::nullopt;
  }
  if (item.key.starts_with("cleared ")) {
    ApplyCleared(item, now);
    return std::nullopt;
  }
  base::json_problems problems;
  const auto json = base::ParseJson(item.value, problems);
  if (!json)
    return std::nullopt;
  base::object_reader reader(*json, item.key, problems);
  const auto fingerprint = ParseHex(reader.String("fingerprint"));
  const base::replica_id replica(reader.String("replica"));
  const bool open = reader.Boolean("open", false);
  if (!fingerprint || !problems.empty())
    return std::nullopt;
  const bool is_busy = item.key.starts_with("busy ");
  auto& claims = is_busy ? peer_busy_ : peer_claims_;
  claims[{item.origin, item.key}] = {item.origin, *fingerprint, replica, open,
                                     now};
  std::erase_if(claims, [&](const auto& entry) {
    const base::duration retention =
        entry.second.open ? kClaimLifetime : kPropagationTime;
    return now - entry.second.since >= retention;
  });
  while (claims.size() > kMaxPeerClaims)
    claims.erase(claims.begin());
  if (is_busy)
    return std::nullopt;
  return peer_claim{replica, open};
}

void quarantine::ApplyCrash(const membership::item& item,
                            base::time_point now) {
  base::json_problems problems;
  const auto json = base::ParseJson(item.value, problems);
  if (!json)
    return;
  base::object_reader reader(*json, item.key, problems);
  const base::replica_id replica(reader.String("replica"));
  const crash_id id{replica, base::epoch(static_cast<std::uint64_t>(
                                 reader.Integer("epoch", 0, kMaxEpoch)))};
  const auto texts = reader.Strings("fingerprints", true);
  if (!problems.empty() || texts.size() > kMaxPerEvent)
    return;
  for (const auto& text : texts) {
    const auto fingerprint = ParseHex(text);
    if (!fingerprint)
      continue;
    AddCrash(*fingerprint, id, now);
    AddCrashEvent(*fingerprint, id, now);
    // Other nodes must not retry the request while it still runs here.
    if (running_.contains(*fingerprint))
      PublishBusy(*fingerprint, true);
  }
  ClearMassLoss(now);
}

void quarantine::ApplyCleared(const membership::item& item,
                              base::time_point now) {
  base::json_problems problems;
  const auto json = base::ParseJson(item.value, problems);
  if (!json)
    return;
  base::object_reader reader(*json, item.key, problems);
  const auto fingerprint = ParseHex(reader.String("fingerprint"));
  std::vector<crash_id> ids;
  reader.Each("crashes", [&](const auto& element, const std::string& path) {
    base::object_reader id(element, path, problems);
    const base::replica_id replica(id.String("replica"));
    ids.push_back({replica, base::epoch(static_cast<std::uint64_t>(
                                id.Integer("epoch", 0, kMaxEpoch)))});
  });
  if (!fingerprint || !problems.empty() || ids.size() > kMaxPerEvent)
    return;
  // A clearance may arrive before the crash that it clears.
  history& crash_history = histories_[*fingerprint];
  crash_history.cleared.insert(ids.begin(), ids.end());
  crash_history.last_update = std::max(crash_history.last_update, now);
  EvictOldest();
}

std::vector<quarantine::record> quarantine::List(base::time_point now) {
  std::vector<base::fingerprint> fingerprints;
  for (const auto& [fingerprint, crash_history] : histories_)
    fingerprints.push_back(fingerprint);
  std::sort(fingerprints.begin(), fingerprints.end());
  std::vector<record> records;
  for (const auto fingerprint : fingerprints) {
    const quarantine_state state = Classify(fingerprint, now);
    if (state == quarantine_state::kClear)
      continue;
    const history& crash_history = histories_.at(fingerprint);
    const base::duration retention = state == quarantine_state::kQuarantined
                                         ? kQuarantineTime
                                         : kSuspicionTime;
    records.push_back({fingerprint, crash_history.UnclearedCount(), state,
                       crash_history.last_update + retention - now});
  }
  return records;
}

}  // namespace flamingoshunt::routing
