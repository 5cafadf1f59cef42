#include "membership/spreader.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace flamingoshunt::membership {
namespace {

constexpr std::size_t kFanOut = 4;         // nodes that a range is split among
constexpr std::size_t kMaxTries = 3;       // nodes tried for one range
constexpr std::size_t kMaxJobs = 256;      // ranges waiting
constexpr double kMessageBytes = 400;      // a gossip and its answer, empty
constexpr std::size_t kMemberBytes = 160;  // a member in JSON
constexpr std::size_t kItemBytes = 120;    // an item in JSON, without value
constexpr std::array<const char*, 2> kUrgentTopics = {"catalogue", "crash"};

std::size_t SizeOf(const updates& news) {
  std::size_t size = news.members.size() * kMemberBytes;
  for (const item& each : news.items)
    size += kItemBytes + each.value.size();
  return size;
}

bool Holds(const node_range& range, const member_record& record) {
  return record.position >= range.first && record.position <= range.last;
}

// Members of the range, in the order of their positions.
std::vector<const member_record*> Within(const core& shared,
                                         const node_range& range) {
  std::vector<const member_record*> within;
  for (const member_record* record : shared.members.LiveIn(range.region)) {
    if (Holds(range, *record))
      within.push_back(record);
  }
  return within;
}

}  // namespace

bool IsUrgentTopic(const std::string& topic) {
  return std::find(kUrgentTopics.begin(), kUrgentTopics.end(), topic) !=
         kUrgentTopics.end();
}

spreader::spreader(core& shared, spread_budget budget)
    : core_(shared), budget_(budget), tokens_(budget.burst_bytes) {}

spreader::job& spreader::JobFor(queue& jobs, const target& to) {
  if (jobs.size() >= kMaxJobs && jobs.count(to) == 0) {
    jobs.erase(jobs.begin());
    ++core_.counters.gossip_abandoned;
  }
  return jobs[to];
}

void spreader::SpreadMember(const base::node_id& id) {
  const member_record* record = core_.members.Find(id);
  if (record && core_.members.TakeForwarding(id, VersionOf(record->known)))
    JobFor(urgent_, std::nullopt).members.insert(id);
}

void spreader::SpreadItem(record_id id) {
  const item_record* record = core_.items.Find(id);
  if (!record || !core_.items.TakeForwarding(id, record->kept.version))
    return;
  queue& jobs = IsUrgentTopic(record->kept.topic) ? urgent_ : soft_;
  JobFor(jobs, std::nullopt).items.insert(id);
}

void spreader::Forward(const node_range& range, const updates& news) {
  if (range.region != core_.self().region)
    return;
  for (const peer& claim : news.members) {
    const member_record* record = core_.members.Find(claim.id);
    const std::uint64_t version = VersionOf(claim);
    if (record && VersionOf(record->known) == version &&
        core_.members.TakeForwarding(claim.id, version))
      JobFor(urgent_, range).members.insert(claim.id);
  }
  for (const item& claim : news.items) {
    const record_id id = ItemRecordId(claim.topic, claim.key, claim.origin);
    const item_record* record = core_.items.Find(id);
    if (!record || record->kept.version != claim.version ||
        !core_.items.TakeForwarding(id, claim.version))
      continue;
    queue& jobs = IsUrgentTopic(claim.topic) ? urgent_ : soft_;
    JobFor(jobs, range).items.insert(id);
  }
}

void spreader::Refill(base::time_point now) {
  const double seconds = std::chrono::duration<double>(now - refilled_).count();
  tokens_ = std::min(budget_.burst_bytes,
                     tokens_ + seconds * budget_.bytes_per_second);
  refilled_ = now;
}

void spreader::Flush(base::time_point now) {
  Refill(now);
  FlushQueue(urgent_, now);
  if (tokens_ > 0)
    FlushQueue(soft_, now);
}

std::optional<base::time_point> spreader::NextTimer() const {
  if (soft_.empty())
    return std::nullopt;
  const double seconds = std::max(0.0, 1 - tokens_) / budget_.bytes_per_second;
  const auto wait = std::chrono::ceil<std::chrono::milliseconds>(
      std::chrono::duration<double>(seconds));
  return refilled_ + wait;
}

void spreader::FlushQueue(queue& jobs, base::time_point now) {
  queue taken;
  taken.swap(jobs);
  for (const auto& [to, news] : taken)
    SendJob(to, news, now);
}

// Cuts the records into packets and sends each on its way.
void spreader::SendJob(const target& to,
                       const job& news,
                       base::time_point now) {
  updates packet;
  const auto send = [&] {
    if (packet.empty())
      return;
    const auto carried = std::make_shared<const updates>(std::move(packet));
    packet = {};
    if (to)
      SendSplit(*to, carried, now);
    else
      SendEverywhere(carried, now);
  };
  const auto send_if_full = [&] {
    if (SizeOf(packet) + kMaxItemValue > kMaxPacketRecords)
      send();
  };
  for (const base::node_id& id : news.members) {
    if (const member_record* record = core_.members.Find(id))
      packet.members.push_back(record->known);
    send_if_full();
  }
  for (const record_id id : news.items) {
    if (const item_record* record = core_.items.Find(id))
      packet.items.push_back(record->kept);
    send_if_full();
  }
  send();
}

void spreader::SendEverywhere(const std::shared_ptr<const updates>& news,
                              base::time_point now) {
  for (const base::region_id& region : core_.members.Regions()) {
    const node_range whole{region};
    if (region == core_.self().region)
      SendSplit(whole, news, now);
    else
      SendToOne({whole, news, {}}, now);
  }
}

void spreader::SendSplit(const node_range& range,
                         const std::shared_ptr<const updates>& news,
                         base::time_point now) {
  const auto within = Within(core_, range);
  const std::size_t parts = std::min(kFanOut, within.size());
  for (std::size_t part = 0; part < parts; ++part) {
    // The parts touch, so that nodes unknown here are in one of them too.
    node_range piece = range;
    if (part > 0)
      piece.first = within[part * within.size() / parts]->position;
    if (part + 1 < parts)
      piece.last = within[(part + 1) * within.size() / parts]->position - 1;
    SendToOne({piece, news, {}}, now);
  }
}

void spreader::SendToOne(gossip_call call, base::time_point now) {
  auto candidates = Within(core_, call.range);
  auto untried = candidates;
  std::erase_if(untried, [&](const member_record* record) {
    return std::count(call.tried.begin(), call.tried.end(), record->known.id);
  });
  // A range of one node has nobody else to turn to.
  if (!untried.empty())
    candidates = std::move(untried);
  auto trusted = candidates;
  std::erase_if(trusted, [](const member_record* record) {
    return record->known.state != peer_state::kAlive;
  });
  const member_record* child = core_.Pick(trusted);
  if (!child)
    child = core_.Pick(candidates);
  if (!child)
    return;
  call.tried.push_back(child->known.id);
  tokens_ = std::max(
      -budget_.burst_bytes,
      tokens_ - kMessageBytes - static_cast<double>(SizeOf(*call.carried)));
  ++core_.counters.gossip_sent;
  const peer to = child->known;
  gossip message{call.range, *call.carried};
  core_.Call(to, std::move(message), core_.TimeoutTo(to), std::move(call), now);
}

void spreader::OnFailed(gossip_call failed, base::time_point now) {
  if (failed.tried.size() >= kMaxTries) {
    ++core_.counters.gossip_abandoned;
    return;
  }
  ++core_.counters.gossip_retried;
  SendToOne(std::move(failed), now);
}

}  // namespace flamingoshunt::membership
