#include "store/kind_view.h"

#include <algorithm>
#include <utility>

namespace flamingoshunt::store {

watch_event kind_view::Bookmark(base::revision at) const {
  return {subscriber_,
          watch_event_kind::kBookmark,
          {{kind_, ""}, at, ""},
          platform_era_};
}

std::vector<watch_event> kind_view::Reconcile(const reply& list,
                                              base::time_point now) {
  needs_list_ = false;
  position_ = list.store_revision;
  platform_era_ = list.platform_era;
  const bool restored = behind_since_ && now >= *behind_since_ + kBehindGrace;
  if (list.store_revision < highest_ && !restored) {
    if (!behind_since_)
      behind_since_ = now;
    return {};
  }
  behind_since_.reset();
  highest_ = list.store_revision;
  std::vector<watch_event> events;
  std::map<std::string, base::revision> listed;
  for (const object& item : list.listed) {
    listed[item.key.name] = item.version;
    const auto before = known_.find(item.key.name);
    if (before == known_.end() || before->second != item.version)
      events.push_back(
          {subscriber_, watch_event_kind::kPut, item, platform_era_});
  }
  for (const auto& [name, version] : known_) {
    if (!listed.contains(name))
      events.push_back({subscriber_,
                        watch_event_kind::kDelete,
                        {{kind_, name}, list.store_revision, ""},
                        platform_era_});
  }
  known_ = std::move(listed);
  events.push_back(Bookmark(highest_));
  return events;
}

void kind_view::BeginEra() {
  needs_list_ = true;
  behind_since_.reset();
  position_ = base::revision();
  highest_ = base::revision();
  // Revisions that are assigned again equal those of other states.
  for (auto& [name, version] : known_)
    version = base::revision();
}

std::optional<watch_event> kind_view::Observe(const watch_event& event) {
  if (event.kind == watch_event_kind::kGap) {
    needs_list_ = true;
    return std::nullopt;
  }
  const base::revision at = event.changed.version;
  const bool bookmark = event.kind == watch_event_kind::kBookmark;
  if (behind_since_) {
    position_ = std::max(position_, at);
    needs_list_ = needs_list_ || position_ >= highest_;
    return std::nullopt;
  }
  // Delivered twice, or out of order by a watch that was replaced.
  if (at < position_ || (!bookmark && at == position_))
    return std::nullopt;
  position_ = at;
  highest_ = at;
  if (bookmark)
    return Bookmark(at);
  if (event.kind == watch_event_kind::kPut)
    known_[event.changed.key.name] = at;
  else
    known_.erase(event.changed.key.name);
  watch_event passed = event;
  passed.id = subscriber_;
  return passed;
}

bool kind_view::NeedsList(base::time_point now) const {
  return needs_list_ || (behind_since_ && now >= *behind_since_ + kBehindGrace);
}

std::optional<base::time_point> kind_view::NextTimer() const {
  if (!behind_since_)
    return std::nullopt;
  return *behind_since_ + kBehindGrace;
}

}  // namespace flamingoshunt::store
