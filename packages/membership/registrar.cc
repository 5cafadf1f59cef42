#include "membership/registrar.h"

#include <algorithm>
#include <cmath>

#include "base/checked_json.h"
#include "base/hash.h"

namespace flamingoshunt::membership {
namespace {

constexpr base::duration kFirstBackOff = std::chrono::milliseconds(500);
constexpr base::duration kMaxBackOff = std::chrono::seconds(30);
constexpr base::duration kFleetListPeriod = std::chrono::seconds(15);
constexpr base::duration kLeaveLimit = std::chrono::seconds(2);
constexpr base::duration kSweepStandIn = std::chrono::seconds(30);
constexpr std::size_t kSweepers = 3;  // ranks that look at a dead node's object
constexpr std::int64_t kMaxIncarnation = std::int64_t{1} << 58;

std::optional<base::time_point> Earlier(std::optional<base::time_point> left,
                                        std::optional<base::time_point> right) {
  if (!left || !right)
    return left ? left : right;
  return std::min(*left, *right);
}

bool IsDue(std::optional<base::time_point>& timer, base::time_point now) {
  if (!timer || *timer > now)
    return false;
  timer.reset();
  return true;
}

}  // namespace

std::string NodeObjectValue(const peer& member) {
  return boost::json::serialize(
      boost::json::object{{"incarnation", member.incarnation},
                          {"address", member.address},
                          {"failure_domain", member.failure_domain.str()},
                          {"region", member.region.str()}});
}

std::optional<peer> ReadNodeObject(const store::object& stored) {
  base::json_problems problems;
  const auto json = base::ParseJson(stored.value, problems);
  if (!json)
    return std::nullopt;
  base::object_reader reader(*json, stored.key.name, problems);
  peer read;
  read.id = base::node_id(stored.key.name);
  read.incarnation = static_cast<std::uint64_t>(
      reader.Integer("incarnation", 0, kMaxIncarnation));
  read.address = reader.String("address");
  read.failure_domain =
      base::failure_domain_id(reader.String("failure_domain"));
  read.region = base::region_id(reader.String("region"));
  if (!problems.empty() || read.id.empty())
    return std::nullopt;
  return read;
}

registrar::registrar(core& shared) : core_(shared) {}

void registrar::Send(store::call call, asked why) {
  call.id = store::call_id(next_call_++);
  call.key.kind = kNodeKind;
  pending_.emplace(call.id, std::move(why));
  core_.out.platform_calls.push_back(std::move(call));
}

void registrar::Start(base::time_point) {
  Create();
  List();
}

void registrar::Create() {
  store::call call;
  call.op =
      own_version_ ? store::operation::kUpdate : store::operation::kCreate;
  call.key.name = core_.self().id.str();
  call.expected = own_version_.value_or(base::revision());
  call.value = NodeObjectValue(core_.self());
  Send(std::move(call), {platform_step::kRegister, {}});
}

void registrar::ReadOwn() {
  store::call call;
  call.op = store::operation::kGet;
  call.key.name = core_.self().id.str();
  Send(std::move(call), {platform_step::kReadOwn, {}});
}

void registrar::List() {
  store::call call;
  call.op = store::operation::kList;
  Send(std::move(call), {platform_step::kList, {}});
}

void registrar::Sweep(const peer& dead) {
  store::call call;
  call.op = store::operation::kGet;
  call.key.name = dead.id.str();
  call.priority = store::call_priority::kBackground;
  Send(std::move(call), {platform_step::kSweep, dead});
}

void registrar::Leave(base::time_point now) {
  leaving_ = true;
  next_own_.reset();
  next_list_.reset();
  sweeps_.clear();
  if (!own_version_) {
    core_.out.left = true;
    return;
  }
  leave_deadline_ = now + kLeaveLimit;
  store::call call;
  call.op = store::operation::kDelete;
  call.key.name = core_.self().id.str();
  call.expected = *own_version_;
  call.timeout = kLeaveLimit;
  Send(std::move(call), {platform_step::kUnregister, {}});
}

void registrar::CheckOwnObject(base::time_point now) {
  if (!leaving_ && !next_own_)
    Retry(next_own_, now);
}

// Sets @p timer by exponential back-off with full jitter on its upper half.
void registrar::Retry(std::optional<base::time_point>& timer,
                      base::time_point now) {
  const int doublings = std::min(failures_, 16);
  const base::duration limit = std::min<base::duration>(
      kMaxBackOff, kFirstBackOff * (std::int64_t{1} << doublings));
  const double share = 0.5 + base::RandomUnit(core_.random) / 2;
  timer = now + base::duration(
                    std::llround(static_cast<double>(limit.count()) * share));
}

void registrar::OnDead(const peer& dead, base::time_point now) {
  const std::size_t rank = OwnRankFor(dead.id);
  if (leaving_ || rank >= kSweepers)
    return;
  const auto stand_in = kSweepStandIn * static_cast<std::int64_t>(rank);
  sweeps_[dead.id] = now + core_.times.sweep_delay + stand_in;
}

// Rendezvous hashing over the live nodes says who sweeps first; safety rests on
// the conditional delete alone.
std::size_t registrar::OwnRankFor(const base::node_id& dead) const {
  std::vector<std::string> candidates = {core_.self().id.str()};
  for (const member_record* record : core_.members.Live())
    candidates.push_back(record->known.id.str());
  const auto order = base::RendezvousOrder("sweep/" + dead.str(), candidates);
  const auto own = std::find(order.begin(), order.end(), std::size_t{0});
  return static_cast<std::size_t>(own - order.begin());
}

std::optional<base::time_point> registrar::NextTimer() const {
  auto next = Earlier(Earlier(next_own_, next_list_), leave_deadline_);
  for (const auto& [id, when] : sweeps_)
    next = Earlier(next, when);
  return next;
}

void registrar::OnTimer(base::time_point now) {
  if (IsDue(next_own_, now))
    ReadOwn();
  if (IsDue(next_list_, now))
    List();
  if (IsDue(leave_deadline_, now))
    core_.out.left = true;
  std::erase_if(sweeps_, [&](const auto& sweep) {
    if (sweep.second > now)
      return false;
    const member_record* record = core_.members.Find(sweep.first);
    if (record && record->known.state == peer_state::kDead)
      Sweep(record->known);
    return true;
  });
}

std::optional<std::vector<peer>> registrar::OnReply(const store::reply& reply,
                                                    base::time_point now) {
  const auto found = pending_.find(reply.id);
  if (found == pending_.end())
    return std::nullopt;
  const asked why = found->second;
  pending_.erase(found);
  if (why.step == platform_step::kUnregister) {
    leave_deadline_.reset();
    core_.out.left = true;
  }
  if (leaving_)
    return std::nullopt;
  if (why.step == platform_step::kList)
    return OnListReply(reply, now);
  if (why.step == platform_step::kSweep)
    OnSweepReply(reply, why.about);
  else
    OnOwnReply(reply, now);
  return std::nullopt;
}

bool registrar::DescribesThisRun(const store::object& stored) const {
  const auto read = ReadNodeObject(stored);
  // The incarnation may have risen since by a refutation.
  return read && read->address == core_.self().address &&
         read->incarnation <= core_.self().incarnation;
}

void registrar::OnOwnReply(const store::reply& reply, base::time_point now) {
  using store::call_outcome;
  const bool settled = reply.outcome == call_outcome::kOk && reply.current;
  if (settled && DescribesThisRun(*reply.current)) {
    own_version_ = reply.current->version;
    failures_ = 0;
    return;
  }
  if (reply.outcome == call_outcome::kNotFound) {
    own_version_.reset();
    Create();
    return;
  }
  // Another run's object, found by reading or by a conflict, is replaced.
  if (reply.current && reply.current->key.name == core_.self().id.str()) {
    own_version_ = reply.current->version;
    Create();
    return;
  }
  // A write that may have been applied is settled by reading it back.
  ++failures_;
  Retry(next_own_, now);
}

void registrar::OnSweepReply(const store::reply& reply, const peer& dead) {
  if (reply.outcome != store::call_outcome::kOk || !reply.current)
    return;
  const auto stored = ReadNodeObject(*reply.current);
  const member_record* record = core_.members.Find(dead.id);
  const bool still_dead = record && record->known.state == peer_state::kDead;
  if (!stored || !still_dead || stored->incarnation > record->known.incarnation)
    return;
  store::call call;
  call.op = store::operation::kDelete;
  call.key.name = dead.id.str();
  call.expected = reply.current->version;
  call.priority = store::call_priority::kBackground;
  Send(std::move(call), {platform_step::kSweep, dead});
}

// One node of the fleet lists about every kFleetListPeriod, whatever its size.
base::duration registrar::ListPeriod() {
  const auto nodes = static_cast<std::int64_t>(core_.members.Live().size() + 1);
  const double share = 0.5 + base::RandomUnit(core_.random);
  const auto period = kFleetListPeriod * nodes;
  return base::duration(
      std::llround(static_cast<double>(period.count()) * share));
}

std::optional<std::vector<peer>> registrar::OnListReply(
    const store::reply& reply,
    base::time_point now) {
  if (reply.outcome != store::call_outcome::kOk) {
    ++failures_;
    Retry(next_list_, now);
    return std::nullopt;
  }
  next_list_ = now + ListPeriod();
  std::vector<peer> listed;
  for (const store::object& stored : reply.listed) {
    auto read = ReadNodeObject(stored);
    if (read && read->id != core_.self().id)
      listed.push_back(std::move(*read));
  }
  return listed;
}

}  // namespace flamingoshunt::membership
