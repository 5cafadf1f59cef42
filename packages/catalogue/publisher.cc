#include "catalogue/publisher.h"

#include <algorithm>

namespace flamingoshunt::catalogue {

std::string PeerKey(const store::object_key& key) {
  return key.kind + '/' + key.name;
}

std::optional<store::object_key> ParsePeerKey(std::string_view text) {
  const auto slash = text.find('/');
  if (slash == std::string_view::npos)
    return std::nullopt;
  store::object_key key{std::string(text.substr(0, slash)),
                        std::string(text.substr(slash + 1))};
  if (key.kind != kEntryKind && key.kind != kWorkspaceKind)
    return std::nullopt;
  return key;
}

void publisher::Changed(const stored_item& item,
                        bool from_peer,
                        base::time_point now) {
  help_at_ = now + kHelpAfter;
  const std::size_t rank = peers_.Rank(PeerKey(item.key));
  if (rank < kPublishers)
    return Schedule(item.key, now);
  due_.erase(item.key);
  if (!from_peer)
    Schedule(item.key,
             now + kStandInAfter + kStandInStep * static_cast<int>(rank));
}

void publisher::Shown(const store::object_key& key) {
  if (peers_.Rank(PeerKey(key)) >= kPublishers)
    due_.erase(key);
}

void publisher::PeersChanged(base::time_point now) {
  for (const auto& [key, item] : table_.items()) {
    if (peers_.Rank(PeerKey(key)) < kPublishers)
      Schedule(key, now);
  }
  help_at_ = now + kHelpAfter;
}

std::vector<membership::publish> publisher::Due(base::time_point now) {
  if (help_at_ && *help_at_ <= now)
    HelpLagging(now);
  std::vector<membership::publish> out;
  for (auto at = due_.begin(); at != due_.end();) {
    if (at->second > now) {
      ++at;
      continue;
    }
    const stored_item* item = table_.Find(at->first);
    if (item) {
      published_[at->first] = {item->generation, item->writer};
      out.push_back(
          {std::string(kTopic), PeerKey(at->first), EncodeStored(*item)});
    }
    at = due_.erase(at);
  }
  return out;
}

std::optional<base::time_point> publisher::NextTimer() const {
  std::optional<base::time_point> next = help_at_;
  for (const auto& [key, when] : due_)
    next = next ? std::min(*next, when) : when;
  return next;
}

void publisher::Schedule(const store::object_key& key, base::time_point when) {
  const stored_item* item = table_.Find(key);
  const auto before = published_.find(key);
  const bool done = item && before != published_.end() &&
                    before->second == identity{item->generation, item->writer};
  if (!done)
    due_[key] = when;
}

void publisher::HelpLagging(base::time_point now) {
  help_at_.reset();
  const auto lowest = peers_.LowestLaggingVersion(table_.version());
  if (!lowest)
    return;
  std::size_t helped = 0;
  for (const auto& [key, item] : table_.items()) {
    const auto before = published_.find(key);
    const identity current{item.generation, item.writer};
    const bool done = before != published_.end() && before->second == current;
    if (done || item.generation <= *lowest)
      continue;
    due_[key] = now;
    if (++helped == kMaxHelp)
      break;
  }
  if (helped > 0)
    help_at_ = now + kHelpAfter;
}

}  // namespace flamingoshunt::catalogue
