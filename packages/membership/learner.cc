#include "membership/learner.h"

#include <algorithm>
#include <string>

#include "base/checked_json.h"

namespace flamingoshunt::membership {
namespace {

bool IsUtf8(const std::string& text) {
  base::json_problems problems;
  const boost::json::value quoted(text);
  return base::ParseJson(boost::json::serialize(quoted), problems).has_value();
}

// Peers refuse a whole message for one field that breaks these bounds.
bool CanTravel(const publish& wanted) {
  return !wanted.topic.empty() && wanted.topic.size() <= kMaxNameLength &&
         wanted.key.size() <= kMaxNameLength &&
         wanted.value.size() <= kMaxItemValue && IsUtf8(wanted.topic) &&
         IsUtf8(wanted.key) && IsUtf8(wanted.value);
}

}  // namespace

learner::learner(core& shared, spreader& spread, detector& detect)
    : core_(shared), spreader_(spread), detector_(detect) {}

void learner::Learn(const updates& news,
                    const base::node_id& sender,
                    base::time_point now) {
  for (const peer& claim : news.members)
    LearnMember(claim, sender, now);
  for (const item& claim : news.items)
    LearnItem(claim, now);
}

void learner::LearnMember(const peer& claim,
                          const base::node_id& sender,
                          base::time_point now) {
  if (claim.id == core_.self().id) {
    Refute(claim, now);
    return;
  }
  const member_record* known = core_.members.Find(claim.id);
  const bool newer = !known || VersionOf(claim) > VersionOf(known->known);
  if (!newer)
    return;
  if (claim.state == peer_state::kDead) {
    if (known && IsLive(known->known.state))
      detector_.ProbeWithClaim(claim, now);
    return;
  }
  const bool taken = core_.ApplyMember(claim, now);
  if (taken && claim.id == sender)
    spreader_.SpreadMember(claim.id);
}

void learner::Refute(const peer& claim, base::time_point now) {
  const peer& self = core_.self();
  if (self.state == peer_state::kLeft || claim == self ||
      claim.incarnation < self.incarnation)
    return;
  ++core_.counters.refutations;
  core_.Reincarnate(claim.incarnation, now);
  spreader_.SpreadMember(self.id);
}

void learner::LearnItem(const item& claim, base::time_point now) {
  if (claim.origin == core_.self().id) {
    Reassert(claim, now);
    return;
  }
  const member_record* origin = core_.members.Find(claim.origin);
  if (origin && !IsLive(origin->known.state))
    return;
  const item_verdict verdict = core_.items.Apply(claim, now);
  if (verdict == item_verdict::kRefused)
    ++core_.counters.items_refused;
  if (verdict != item_verdict::kTaken)
    return;
  core_.last_change = now;
  core_.out.items.push_back({claim});
}

// An earlier run of this node published under a version that this run has not
// reached. What this run published goes above it, the rest is withdrawn.
void learner::Reassert(const item& claim, base::time_point now) {
  const record_id id = ItemRecordId(claim.topic, claim.key, claim.origin);
  const item_record* own = core_.items.Find(id);
  if (own && (own->kept.version > claim.version || own->kept == claim))
    return;
  if (!own && claim.value.empty())
    return;
  item corrected = claim;
  corrected.value = published_.count(id) ? own->kept.value : "";
  corrected.version = claim.version + 1;
  SetOwnItem(std::move(corrected), now);
}

bool learner::Publish(const publish& wanted, base::time_point now) {
  if (!CanTravel(wanted)) {
    ++core_.counters.items_refused;
    return false;
  }
  const base::node_id& self = core_.self().id;
  const record_id id = ItemRecordId(wanted.topic, wanted.key, self);
  const item_record* own = core_.items.Find(id);
  if (own ? own->kept.value == wanted.value : wanted.value.empty())
    return true;
  const std::uint64_t least = core_.self().incarnation;
  const std::uint64_t version =
      own ? std::max(own->kept.version, least) + 1 : least + 1;
  published_.insert(id);
  return SetOwnItem({wanted.topic, wanted.key, self, version, wanted.value},
                    now);
}

bool learner::SetOwnItem(item own, base::time_point now) {
  const record_id id = ItemRecordId(own.topic, own.key, own.origin);
  if (core_.items.Apply(own, now) != item_verdict::kTaken) {
    ++core_.counters.items_refused;
    return false;
  }
  core_.last_change = now;
  spreader_.SpreadItem(id);
  return true;
}

}  // namespace flamingoshunt::membership
