// Defines the index from prompt prefixes to the replicas that probably cache
// them. It is built from cache events, which arrive late and with gaps, and
// from the requests of this node. A wrong entry costs time, never correctness.
#ifndef FLAMINGOSHUNT_ROUTING_PREFIX_INDEX_H_
#define FLAMINGOSHUNT_ROUTING_PREFIX_INDEX_H_

#include <array>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace flamingoshunt::routing {

class prefix_index {
 public:
  using replica_index = std::uint32_t;  ///< Index of a replica in the table.

  /// @param capacity number of prefixes; the oldest are evicted first.
  explicit prefix_index(std::size_t capacity) : capacity_(capacity) {}

  void Add(std::uint64_t prefix, replica_index replica);
  void Remove(std::uint64_t prefix, replica_index replica);

  struct match {
    replica_index replica = 0;
    std::size_t length = 0;  ///< Prefix hashes matched.
  };

  /// @param prefixes shortest first.
  /// @return the replicas that hold the longest prefix that any replica holds.
  std::vector<match> LongestMatch(
      const std::vector<std::uint64_t>& prefixes) const;

  std::size_t size() const { return holders_.size(); }

 private:
  /// Replicas stored per prefix; when full, they are replaced in turn.
  static constexpr std::size_t kMaxHolders = 4;
  struct holder_set {
    std::array<replica_index, kMaxHolders> replicas{};
    std::uint8_t count = 0;
    std::uint8_t next_replaced = 0;
  };

  std::size_t capacity_;
  std::unordered_map<std::uint64_t, holder_set> holders_;
  std::deque<std::uint64_t> insertion_order_;
};

}  // namespace flamingoshunt::routing

#endif  // FLAMINGOSHUNT_ROUTING_PREFIX_INDEX_H_
