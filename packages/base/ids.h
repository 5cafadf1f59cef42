// Defines the identifiers that cross slices. Each is a type of its own around a
// string or a number, so that an instance can't be passed for a replica.
#ifndef FLAMINGOSHUNT_BASE_IDS_H_
#define FLAMINGOSHUNT_BASE_IDS_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace flamingoshunt::base {

template <class Tag>
class string_id {
 public:
  string_id() = default;
  explicit string_id(std::string text) : text_(std::move(text)) {}

  const std::string& str() const { return text_; }
  bool empty() const { return text_.empty(); }
  auto operator<=>(const string_id&) const = default;  // NOLINT

  friend std::ostream& operator<<(std::ostream& out, const string_id& id) {
    return out << id.text_;
  }

 private:
  std::string text_;
};

template <class Tag>
class number_id {
 public:
  constexpr number_id() = default;
  constexpr explicit number_id(std::uint64_t value) : value_(value) {}

  constexpr std::uint64_t value() const { return value_; }
  auto operator<=>(const number_id&) const = default;  // NOLINT

  friend std::ostream& operator<<(std::ostream& out, const number_id& id) {
    return out << id.value_;
  }

 private:
  std::uint64_t value_ = 0;
};

/// A machine that runs a model engine or a plain service ("endpoint instance").
using instance_id = string_id<struct instance_tag>;
/// One of our own processes ("entry instance").
using node_id = string_id<struct node_tag>;
using replica_id = string_id<struct replica_tag>;
using entry_name = string_id<struct entry_tag>;
using workspace_id = string_id<struct workspace_tag>;
using failure_domain_id = string_id<struct failure_domain_tag>;
using fabric_domain_id = string_id<struct fabric_domain_tag>;
using region_id = string_id<struct region_tag>;
/// Names one caller request for its whole life; echoed to the caller.
using request_id = string_id<struct request_tag>;
/// Names one try of a request at one endpoint.
using attempt_id = number_id<struct attempt_tag>;
/// Counts the formations of a replica; the fencing number on its orders.
using epoch = number_id<struct epoch_tag>;
/// Version of a platform object or collection; rises with every write.
using revision = number_id<struct revision_tag>;
/// Hash of (workspace, entry, body); names requests that may crash endpoints.
using fingerprint = number_id<struct fingerprint_tag>;

}  // namespace flamingoshunt::base

template <class Tag>
struct std::hash<flamingoshunt::base::string_id<Tag>> {
  std::size_t operator()(const flamingoshunt::base::string_id<Tag>& id) const {
    return std::hash<std::string>()(id.str());
  }
};

template <class Tag>
struct std::hash<flamingoshunt::base::number_id<Tag>> {
  std::size_t operator()(const flamingoshunt::base::number_id<Tag>& id) const {
    return std::hash<std::uint64_t>()(id.value());
  }
};

#endif  // FLAMINGOSHUNT_BASE_IDS_H_
