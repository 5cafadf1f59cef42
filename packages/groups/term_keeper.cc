#include "groups/term_keeper.h"

#include <boost/json.hpp>

#include <algorithm>
#include <utility>

#include "base/hash.h"

namespace flamingoshunt::groups {
namespace {

namespace json = boost::json;

// A successor waits so long for each place that it is behind in the order, so
// that usually only the first one writes.
constexpr base::duration kPlaceDelay = std::chrono::milliseconds(400);
// After losing to another node, so that two nodes that don't hear each other
// don't take turns at every tick.
constexpr base::duration kFirstBackoff = std::chrono::seconds(3);
constexpr base::duration kLongestBackoff = std::chrono::seconds(20);
// After a write without a usable answer.
constexpr base::duration kRetry = std::chrono::milliseconds(300);

}  // namespace

term_keeper::term_keeper(base::node_id self,
                         std::uint64_t incarnation,
                         std::string service)
    : self_(std::move(self)),
      incarnation_(incarnation),
      service_(std::move(service)) {}

std::string term_keeper::Statement(std::uint64_t term) const {
  return json::serialize(json::object{
      {"node", self_.str()}, {"incarnation", incarnation_}, {"term", term}});
}

bool term_keeper::Mine(const std::string& value) const {
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

void term_keeper::Read(const std::string& value) {
  boost::system::error_code error;
  const json::value parsed = json::parse(value, error);
  const auto* object = parsed.if_object();
  if (error || !object)
    return;
  if (const auto* node = object->if_contains("node"); node && node->is_string())
    actor_ = base::node_id(std::string(node->as_string()));
  if (const auto* term = object->if_contains("term"); term && term->is_number())
    term_ = std::max(term_, term->to_number<std::uint64_t>(error));
}

void term_keeper::Seen(const store::object& object) {
  if (object_ && object.version < object_->version)
    return;
  object_ = object;
  Read(object.value);
  acting_ = Mine(object.value);
}

void term_keeper::SeenDeleted() {
  object_.reset();
  acting_ = false;
}

void term_keeper::BackOff(base::time_point now) {
  backoff_ =
      std::clamp<base::duration>(backoff_ * 2, kFirstBackoff, kLongestBackoff);
  not_before_ = now + backoff_;
}

std::optional<store::call> term_keeper::Tick(
    const std::vector<base::node_id>& live,
    base::time_point now) {
  if (!listed_ || writing_ || resigned_ || acting())
    return std::nullopt;
  const bool actor_live =
      object_ && actor_ != self_ &&
      std::find(live.begin(), live.end(), actor_) != live.end();
  if (actor_live) {
    actor_missed_since_.reset();
    return std::nullopt;
  }
  if (!actor_missed_since_)
    actor_missed_since_ = now;
  std::vector<std::string> names;
  for (const base::node_id& each : live)
    names.push_back(each.str());
  std::size_t place = 0;
  const auto order = base::RendezvousOrder(service_, names);
  while (place < order.size() && names[order[place]] != self_.str())
    ++place;
  if (now < not_before_ ||
      now < *actor_missed_since_ + kPlaceDelay * static_cast<int>(place))
    return std::nullopt;
  writing_ = true;
  store::call write;
  write.op = object_ ? store::operation::kUpdate : store::operation::kCreate;
  write.key = {kFleetKind, kTermPrefix + service_};
  if (object_)
    write.expected = object_->version;
  write.value = Statement(term_ + 1);
  return write;
}

void term_keeper::Settle(const store::reply& reply, base::time_point now) {
  writing_ = false;
  const bool before = acting_;
  if (reply.current)
    Seen(*reply.current);
  if (acting_ && !before)
    backoff_ = {};
  if (reply.outcome == store::call_outcome::kConflict && !acting_)
    BackOff(now);
  else if (!acting_)
    not_before_ = now + kRetry;
}

void term_keeper::Fenced(base::time_point now) {
  if (!acting_)
    return;
  acting_ = false;
  BackOff(now);
}

}  // namespace flamingoshunt::groups
