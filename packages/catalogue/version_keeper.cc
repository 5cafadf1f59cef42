#include "catalogue/version_keeper.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"

namespace flamingoshunt::catalogue {
namespace {

constexpr std::string_view kStatementKey = "in-force";
constexpr base::duration kStatementInterval = std::chrono::seconds(1);
// Spreads the reads of nodes that start to read for themselves.
constexpr int kSpreadSteps = 16;
constexpr base::duration kSpreadStep = std::chrono::milliseconds(25);

std::optional<base::time_point> Later(std::optional<base::time_point> left,
                                      std::optional<base::time_point> right) {
  if (!left || !right)
    return left ? left : right;
  return std::max(*left, *right);
}

}  // namespace

version_keeper::version_keeper(const keeper_options& options)
    : options_(options), peers_(options.self) {}

keeper_effects version_keeper::Handle(const store::watch_event& event,
                                      base::time_point now) {
  const store::object& changed = event.changed;
  switch (event.kind) {
    case store::watch_event_kind::kPut:
      TakeObject(changed, now, false);
      break;
    case store::watch_event_kind::kDelete: {
      // Only tombstones delete; an absent item was lost.
      const stored_item* held = table_.Find(changed.key);
      if (held && held->spec)
        write_back_.Older(changed.key, std::nullopt, now);
      break;
    }
    case store::watch_event_kind::kBookmark:
      bookmarked_[changed.key.kind == kEntryKind ? 0 : 1] = true;
      break;
    case store::watch_event_kind::kGap:
      return {};  // The client never passes one on.
  }
  // Events of one list share its revision, so only the bookmark proves it.
  if (event.kind == store::watch_event_kind::kBookmark)
    proof_.Reach(changed.key.kind, changed.version);
  return Finish(now);
}

keeper_effects version_keeper::Handle(const store::reply& answer,
                                      base::time_point now) {
  keeper_effects effects;
  if (const auto next = write_back_.Handle(answer, now))
    effects.calls.push_back(*next);
  if (proof_.Handle(answer, now) == platform_proof::reply_use::kList) {
    for (const store::object& each : answer.listed)
      TakeObject(each, now, true);
  }
  keeper_effects rest = Finish(now);
  rest.calls.insert(rest.calls.begin(), effects.calls.begin(),
                    effects.calls.end());
  return rest;
}

keeper_effects version_keeper::Handle(const membership::item_received& received,
                                      base::time_point now) {
  const membership::item& item = received.received;
  if (item.topic != kTopic || item.origin == options_.self)
    return {};
  if (item.key != kStatementKey) {
    TakePeerItem(item, now);
  } else if (const auto said = DecodeStatement(item.value)) {
    peers_.Take(item.origin, *said, now);
  } else {
    ++counters_.malformed;
  }
  return Finish(now);
}

keeper_effects version_keeper::Handle(const membership::peers_changed& changed,
                                      base::time_point now) {
  peers_.SetPeers(changed.peers);
  publisher_.PeersChanged(now);
  stated_at_.reset();  // Newcomers have not heard the last statement.
  return Finish(now);
}

keeper_effects version_keeper::Tick(base::time_point now) {
  return Finish(now);
}

void version_keeper::TakeObject(const store::object& found,
                                base::time_point now,
                                bool listed) {
  base::json_problems problems;
  const auto item = DecodeStored(found.key, found.value, problems);
  if (!item) {
    ++counters_.malformed;
    return;
  }
  const stored_item* held = table_.Find(found.key);
  const bool older = held && *held != *item && !IsNewer(*item, *held);
  Offer(*item, false, now);
  if (!older)
    write_back_.Current(found.key);
  else if (!listed)  // A list may be overtaken by events already seen.
    write_back_.Older(found.key, found.version, now);
}

void version_keeper::Offer(const stored_item& item,
                           bool from_peer,
                           base::time_point now) {
  switch (table_.Offer(item)) {
    case item_table::offer_result::kTaken:
      ++counters_.taken;
      changed_ = true;
      publisher_.Changed(item, from_peer, now);
      break;
    case item_table::offer_result::kSame:
      if (from_peer)
        publisher_.Shown(item.key);
      break;
    case item_table::offer_result::kOlder:
      ++counters_.older;
      break;
    case item_table::offer_result::kFull:
      ++counters_.full;
      break;
  }
}

void version_keeper::TakePeerItem(const membership::item& item,
                                  base::time_point now) {
  base::json_problems problems;
  const auto key = ParsePeerKey(item.key);
  const auto decoded =
      key ? DecodeStored(*key, item.value, problems) : std::nullopt;
  if (decoded)
    Offer(*decoded, true, now);
  else
    ++counters_.malformed;
}

keeper_effects version_keeper::Finish(base::time_point now) {
  keeper_effects effects;
  NotePeerAhead(now);
  SendReads(now, effects);
  if (const auto next = write_back_.Due(now))
    effects.calls.push_back(*next);
  UpdateInForce(now, effects);
  Publish(now, effects);
  return effects;
}

void version_keeper::NotePeerAhead(base::time_point now) {
  if (peers_.HighestVersion() <= table_.version())
    peer_ahead_since_.reset();
  else if (!peer_ahead_since_)
    peer_ahead_since_ = now;
}

void version_keeper::SendReads(base::time_point now, keeper_effects& effects) {
  if (NextRead() <= now) {
    last_read_ = now;
    ++counters_.reads;
    effects.calls.push_back(proof_.Read(now));
  }
  const bool ahead =
      peer_ahead_since_ && now >= *peer_ahead_since_ + kPeerAhead;
  if (ahead)
    peer_ahead_since_ = now;
  // The watches pass nothing on from a platform that is behind. Items are
  // ordered by generation, so a list of it does no harm, and an edit made there
  // is found.
  const bool find_edits = proof_.behind() && IsReader();
  for (const store::call& list : proof_.Lists(ahead || find_edits, now)) {
    ++counters_.lists;
    effects.calls.push_back(list);
  }
}

void version_keeper::UpdateInForce(base::time_point now,
                                   keeper_effects& effects) {
  const auto confirmed_at = ConfirmedAt(now);
  if (confirmed_at)
    confirmed_until_ = *confirmed_at + options_.bound;
  const bool confirmed = confirmed_at && now < confirmed_until_;
  const bool was_complete = complete_;
  complete_ = complete_ || confirmed || (bookmarked_[0] && bookmarked_[1]);
  // A half-learnt catalogue never comes into force.
  if (complete_ && (changed_ || !was_complete)) {
    in_force_ = table_.Snapshot();
    effects.in_force = in_force_;
    changed_ = false;
  }
  if (confirmed == was_confirmed_)
    return;
  counters_.unconfirmed += confirmed ? 0 : 1;
  was_confirmed_ = confirmed;
  effects.confirmed = confirmed;
}

void version_keeper::Publish(base::time_point now, keeper_effects& effects) {
  effects.publish = publisher_.Due(now);
  counters_.published += effects.publish.size();
  const auto due = NextStatement();
  const statement said = Statement(now);
  const bool moved =
      said.version != stated_.version || said.digest != stated_.digest;
  if (!complete_ || (!moved && (!due || *due > now)))
    return;
  stated_ = said;
  stated_at_ = now;
  effects.publish.push_back(
      {std::string(kTopic), std::string(kStatementKey), EncodeStatement(said)});
}

std::optional<base::time_point> version_keeper::PlatformConfirmedAt() const {
  return Later(proof_.proven_at(), peers_.PlatformProof(table_.digest()));
}

std::optional<base::time_point> version_keeper::ConfirmedAt(
    base::time_point now) const {
  const auto platform = PlatformConfirmedAt();
  // Counting the peers costs more, and is needed only when this runs out.
  if (platform && now < *platform + options_.bound)
    return platform;
  // Nodes that all hold nothing agree on nothing.
  const auto majority = table_.version() > 0
                            ? peers_.MajorityProof(table_.digest())
                            : std::nullopt;
  return Later(platform, majority);
}

bool version_keeper::Confirmed(base::time_point now) const {
  const auto at = ConfirmedAt(now);
  return at && now < *at + options_.bound;
}

statement version_keeper::Statement(base::time_point now) const {
  statement said{table_.version(), table_.digest(), std::nullopt};
  const auto proven = proof_.proven_at();
  if (proven && now < *proven + options_.bound)
    said.platform_age = now - *proven;
  return said;
}

base::time_point version_keeper::NextRead() const {
  if (!last_read_)
    return base::time_point();
  const base::time_point next = *last_read_ + kReadInterval;
  const auto proven = PlatformConfirmedAt();
  if (IsReader() || !proven)
    return next;
  const auto spread =
      static_cast<int>(base::Hash64(options_.self.str()) % kSpreadSteps);
  return std::max(next, *proven + kReadAlone + kSpreadStep * spread);
}

std::optional<base::time_point> version_keeper::NextStatement() const {
  if (!stated_at_)
    return base::time_point();
  const base::time_point next = *stated_at_ + kStatementInterval;
  const auto proven = PlatformConfirmedAt();
  // With the platform out of reach everybody's word is needed.
  if (IsReader() || !proven)
    return next;
  return std::max(next, *proven + kReadAlone);
}

std::optional<base::time_point> version_keeper::NextTimer() const {
  std::optional<base::time_point> next = NextRead();
  const auto consider = [&](std::optional<base::time_point> when) {
    if (when)
      next = std::min(*next, *when);
  };
  consider(proof_.NextTimer());
  consider(publisher_.NextTimer());
  consider(write_back_.NextTimer());
  if (complete_)
    consider(NextStatement());
  if (peer_ahead_since_)
    consider(*peer_ahead_since_ + kPeerAhead);
  if (was_confirmed_)
    consider(confirmed_until_);
  return next;
}

}  // namespace flamingoshunt::catalogue
