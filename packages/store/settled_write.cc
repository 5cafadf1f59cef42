#include "store/settled_write.h"

#include <algorithm>
#include <utility>

#include "base/errors.h"

namespace flamingoshunt::store {

settled_write::settled_write(call write,
                             call_id_source& ids,
                             const settled_write_options& options)
    : write_(std::move(write)), ids_(ids), options_(options) {
  const bool is_write = write_.op == operation::kCreate ||
                        write_.op == operation::kUpdate ||
                        write_.op == operation::kDelete;
  FLAMINGOSHUNT_INVARIANT(is_write, static_cast<int>(write_.op));
  write_.timeout = options.call_timeout;
}

call settled_write::Start(base::time_point now) {
  give_up_at_ = now + options_.give_up_after;
  return *WriteAgain().send;
}

settled_write::step settled_write::Handle(const reply& answer,
                                          base::time_point now) {
  if (answer.id != awaited_)
    return {};
  if (phase_ == phase::kWriting)
    return AfterWrite(answer, now);
  if (phase_ == phase::kReading)
    return AfterRead(answer, now);
  return {};
}

settled_write::step settled_write::Tick(base::time_point now) {
  if (phase_ != phase::kWaiting || now < read_at_)
    return {};
  if (now >= give_up_at_)
    return Finish(write_result::kUnsettled);
  call read;
  read.id = awaited_ = ids_.Next();
  read.key = write_.key;
  read.priority = write_.priority;
  read.timeout = options_.call_timeout;
  phase_ = phase::kReading;
  return {read, std::nullopt};
}

std::optional<base::time_point> settled_write::NextTimer() const {
  if (phase_ != phase::kWaiting)
    return std::nullopt;
  return read_at_;
}

settled_write::step settled_write::AfterWrite(const reply& answer,
                                              base::time_point now) {
  current_ = answer.current;
  switch (answer.outcome) {
    case call_outcome::kOk:
      if (write_.op == operation::kDelete)
        current_ = object{write_.key, answer.store_revision, ""};
      return Finish(write_result::kApplied);
    case call_outcome::kInvalid:
      return Finish(write_result::kInvalid);
    case call_outcome::kUnknown:
      unknown_ = true;
      return ReadLater(now);
    case call_outcome::kUnavailable:
      return unknown_ ? ReadLater(now) : Finish(write_result::kNotApplied);
    case call_outcome::kNotFound:
    case call_outcome::kConflict:
      break;
  }
  // The conflict may be with an earlier try of our own. Where the platform
  // tells no value, reading back finds out.
  if (!unknown_)
    return Finish(write_result::kConflict);
  return AfterRead(answer, now);
}

settled_write::step settled_write::AfterRead(const reply& answer,
                                             base::time_point now) {
  const bool deleting = write_.op == operation::kDelete;
  switch (answer.outcome) {
    case call_outcome::kOk:
    case call_outcome::kConflict:
      if (!answer.current)
        return ReadLater(now);
      current_ = answer.current;
      if (IsOurs(current_))
        return Finish(write_result::kApplied);
      if (write_.op != operation::kCreate &&
          current_->version == write_.expected)
        return WriteAgain();
      return Finish(write_result::kConflict);
    case call_outcome::kNotFound:
      current_.reset();
      if (write_.op == operation::kCreate)
        return WriteAgain();
      return Finish(deleting ? write_result::kApplied
                             : write_result::kConflict);
    default:
      return ReadLater(now);
  }
}

settled_write::step settled_write::ReadLater(base::time_point now) {
  phase_ = phase::kWaiting;
  read_at_ = now + options_.read_back_after;
  return {};
}

settled_write::step settled_write::WriteAgain() {
  phase_ = phase::kWriting;
  write_.id = awaited_ = ids_.Next();
  return {write_, std::nullopt};
}

settled_write::step settled_write::Finish(write_result result) {
  phase_ = phase::kDone;
  return {std::nullopt, result};
}

bool settled_write::IsOurs(const std::optional<object>& found) const {
  return write_.op != operation::kDelete && found &&
         found->version > write_.expected && found->value == write_.value;
}

}  // namespace flamingoshunt::store
