#include "routing/prefix_index.h"

#include <algorithm>

namespace flamingoshunt::routing {

void prefix_index::Add(std::uint64_t prefix, replica_index replica) {
  const auto [inserted, is_new] = holders_.try_emplace(prefix);
  if (is_new) {
    insertion_order_.push_back(prefix);
    if (insertion_order_.size() > capacity_) {
      holders_.erase(insertion_order_.front());
      insertion_order_.pop_front();
    }
  }
  const auto entry = holders_.find(prefix);
  if (entry == holders_.end())
    return;
  holder_set& holders = entry->second;
  const auto end = holders.replicas.begin() + holders.count;
  if (std::find(holders.replicas.begin(), end, replica) != end)
    return;
  if (holders.count < kMaxHolders) {
    holders.replicas[holders.count++] = replica;
    return;
  }
  holders.replicas[holders.next_replaced] = replica;
  holders.next_replaced =
      static_cast<std::uint8_t>((holders.next_replaced + 1) % kMaxHolders);
}

void prefix_index::Remove(std::uint64_t prefix, replica_index replica) {
  const auto entry = holders_.find(prefix);
  if (entry == holders_.end())
    return;
  holder_set& holders = entry->second;
  const auto end = holders.replicas.begin() + holders.count;
  const auto it = std::find(holders.replicas.begin(), end, replica);
  if (it == end)
    return;
  *it = holders.replicas[--holders.count];
  holders.next_replaced = 0;
}

std::vector<prefix_index::match> prefix_index::LongestMatch(
    const std::vector<std::uint64_t>& prefixes) const {
  for (std::size_t length = prefixes.size(); length > 0; --length) {
    const auto entry = holders_.find(prefixes[length - 1]);
    if (entry == holders_.end() || entry->second.count == 0)
      continue;
    std::vector<match> matches;
    for (std::uint8_t i = 0; i < entry->second.count; ++i)
      matches.push_back({entry->second.replicas[i], length});
    return matches;
  }
  return {};
}

}  // namespace flamingoshunt::routing
