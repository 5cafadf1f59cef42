#include "groups/leader_election.h"

#include <boost/json.hpp>

#include <algorithm>
#include <utility>

#include "base/hash.h"

namespace flamingoshunt::groups {
namespace {

namespace json = boost::json;

// Each candidate waits this long for every candidate that ranks before it, so
// that usually only the first one writes.
constexpr base::duration kRankDelay = std::chrono::milliseconds(400);
// After losing a conditional write. Keeps two nodes that do not receive each
// other's status from replacing each other at every tick.
constexpr base::duration kFirstBackoff = std::chrono::seconds(3);
constexpr base::duration kMaxBackoff = std::chrono::seconds(20);
// After a write without a conclusive reply.
constexpr base::duration kRetryDelay = std::chrono::milliseconds(300);

}  // namespace

leader_election::leader_election(base::node_id self,
                                 std::uint64_t incarnation,
                                 std::string service)
    : self_(std::move(self)),
      incarnation_(incarnation),
      service_(std::move(service)) {}

std::string leader_election::EncodeTerm(std::uint64_t term) const {
  return json::serialize(json::object{
      {"node", self_.str()}, {"incarnation", incarnation_}, {"term", term}});
}

bool leader_election::IsOwnTerm(const std::string& value) const {
  boost::system::error_code error;
  const json::value parsed = json::parse(value, error);
  const auto* object = parsed.if_object();
  if (error || !object)
    return false;
  const auto* node = object->if_contains("node");
  const auto* incarnation = object->if_contains("incarnation");
  return node && node->is_string() && incarnation && incarnation->is_number() &&
         node->as_string() == self_.str() &&
         incarnation->to_number<std::uint64_t>(error) == incarnation_;
}

void leader_election::ApplyTerm(const std::string& value) {
  boost::system::error_code error;
  const json::value parsed = json::parse(value, error);
  const auto* object = parsed.if_object();
  if (error || !object)
    return;
  if (const auto* node = object->if_contains("node"); node && node->is_string())
    leader_ = base::node_id(std::string(node->as_string()));
  if (const auto* term = object->if_contains("term"); term && term->is_number())
    object_term_ = term->to_number<std::uint64_t>(error);
  term_ = std::max(term_, object_term_);
}

void leader_election::OnTermObject(const store::object& object) {
  if (term_object_ && object.version < term_object_->version)
    return;
  term_object_ = object;
  ApplyTerm(object.value);
  // An object of a restored store may name an earlier leader, whose term is no
  // longer the highest.
  is_leader_ = IsOwnTerm(object.value) && object_term_ == term_;
}

void leader_election::OnTermObjectDeleted() {
  term_object_.reset();
  is_leader_ = false;
}

void leader_election::OnStoreRestored() {
  term_object_.reset();
  is_leader_ = false;
  listed_ = false;
}

void leader_election::BackOff(base::time_point now) {
  backoff_ =
      std::clamp<base::duration>(backoff_ * 2, kFirstBackoff, kMaxBackoff);
  next_attempt_at_ = now + backoff_;
}

std::optional<store::call> leader_election::Tick(
    const std::vector<base::node_id>& live,
    base::time_point now) {
  if (!listed_ || write_pending_ || resigned_ || is_leader())
    return std::nullopt;
  const bool leader_live =
      term_object_ && leader_ != self_ &&
      std::find(live.begin(), live.end(), leader_) != live.end();
  if (leader_live) {
    leader_missing_since_.reset();
    return std::nullopt;
  }
  if (!leader_missing_since_)
    leader_missing_since_ = now;
  std::vector<std::string> names;
  for (const base::node_id& node : live)
    names.push_back(node.str());
  std::size_t rank = 0;
  const auto ranking = base::RendezvousOrder(service_, names);
  while (rank < ranking.size() && names[ranking[rank]] != self_.str())
    ++rank;
  if (now < next_attempt_at_ ||
      now < *leader_missing_since_ + kRankDelay * static_cast<int>(rank))
    return std::nullopt;
  write_pending_ = true;
  store::call write;
  write.op =
      term_object_ ? store::operation::kUpdate : store::operation::kCreate;
  write.key = {kFleetKind, kTermPrefix + service_};
  if (term_object_)
    write.expected = term_object_->version;
  write.value = EncodeTerm(std::max(term_, peer_term_) + 1);
  return write;
}

void leader_election::OnWriteReply(const store::reply& reply,
                                   base::time_point now) {
  write_pending_ = false;
  const bool was_leader = is_leader_;
  if (reply.current)
    OnTermObject(*reply.current);
  if (is_leader_ && !was_leader)
    backoff_ = {};
  if (reply.outcome == store::call_outcome::kConflict && !is_leader_)
    BackOff(now);
  else if (!is_leader_)
    next_attempt_at_ = now + kRetryDelay;
}

void leader_election::OnFenced(base::time_point now) {
  if (!is_leader_)
    return;
  is_leader_ = false;
  BackOff(now);
}

}  // namespace flamingoshunt::groups
