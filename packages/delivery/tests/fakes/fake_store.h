// Defines an in-memory platform store whose writes fail in the ways of the real
// one: unavailable, reply lost before or after the write, and a write that is
// applied long after the caller stopped waiting for the reply.
#ifndef FLAMINGOSHUNT_DELIVERY_TESTS_FAKES_FAKE_STORE_H_
#define FLAMINGOSHUNT_DELIVERY_TESTS_FAKES_FAKE_STORE_H_

#include <map>
#include <optional>
#include <vector>

#include "base/clock.h"
#include "store/messages.h"

namespace flamingoshunt::delivery {

enum class store_fault {
  kNone,
  kUnavailable,  ///< Not applied, and reported as such.
  kLostBefore,   ///< Never applied; the reply is lost.
  kLostAfter,    ///< Applied; the reply is lost.
  kDelayed       ///< The reply is lost; ApplyDelayed applies it.
};

class fake_store {
 public:
  store::reply Call(const store::call& call, store_fault fault);

  /// Applies every delayed write, in order.
  void ApplyDelayed();

  /// If false, writes ignore versions; shows that the tests detect this.
  bool checks_versions = true;

  const std::map<store::object_key, store::object>& objects() const {
    return objects_;
  }

 private:
  store::reply Apply(const store::call& call);
  store::reply Read(const store::call& call) const;

  std::map<store::object_key, store::object> objects_;
  std::uint64_t revision_ = 0;
  std::vector<store::call> delayed_;
};

inline store::reply fake_store::Read(const store::call& call) const {
  store::reply reply;
  reply.id = call.id;
  reply.outcome = store::call_outcome::kOk;
  if (call.op == store::operation::kList) {
    for (const auto& [key, object] : objects_)
      if (key.kind == call.key.kind)
        reply.listed.push_back(object);
    return reply;
  }
  const auto position = objects_.find(call.key);
  if (position == objects_.end())
    reply.outcome = store::call_outcome::kNotFound;
  else
    reply.current = position->second;
  return reply;
}

inline store::reply fake_store::Apply(const store::call& call) {
  store::reply reply;
  reply.id = call.id;
  const auto position = objects_.find(call.key);
  const bool exists = position != objects_.end();
  const bool creates = call.op == store::operation::kCreate;
  if (checks_versions &&
      (creates ? exists
               : exists && position->second.version != call.expected)) {
    reply.outcome = store::call_outcome::kConflict;
    return reply;
  }
  if (checks_versions && !creates && !exists) {
    reply.outcome = store::call_outcome::kNotFound;
    return reply;
  }
  reply.outcome = store::call_outcome::kOk;
  if (call.op == store::operation::kDelete) {
    objects_.erase(position);
    return reply;
  }
  objects_[call.key] = {call.key, base::revision(++revision_), call.value};
  reply.current = objects_[call.key];
  return reply;
}

inline store::reply fake_store::Call(const store::call& call,
                                     store_fault fault) {
  store::reply failed;
  failed.id = call.id;
  const bool writes =
      call.op != store::operation::kGet && call.op != store::operation::kList;
  if (fault == store_fault::kNone)
    return writes ? Apply(call) : Read(call);
  if (!writes || fault == store_fault::kUnavailable)
    return failed;  // A failed read always reports unavailable.
  failed.outcome = store::call_outcome::kUnknown;
  if (fault == store_fault::kLostAfter)
    Apply(call);
  if (fault == store_fault::kDelayed)
    delayed_.push_back(call);
  return failed;
}

inline void fake_store::ApplyDelayed() {
  for (const store::call& call : delayed_)
    Apply(call);
  delayed_.clear();
}

}  // namespace flamingoshunt::delivery

#endif  // FLAMINGOSHUNT_DELIVERY_TESTS_FAKES_FAKE_STORE_H_
