// Defines the platform's part in membership: this node's "node" object, written
// when it joins and deleted when it leaves; the list of the others' objects, by
// which a starting node finds the fleet; and the sweep of what dead nodes left.
// Nothing is written for a heartbeat.
#ifndef FLAMINGOSHUNT_MEMBERSHIP_REGISTRAR_H_
#define FLAMINGOSHUNT_MEMBERSHIP_REGISTRAR_H_

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "membership/core.h"

namespace flamingoshunt::membership {

inline constexpr char kNodeKind[] = "node";  ///< Of the platform objects.

/// @return the value of the node object of @p member.
std::string NodeObjectValue(const peer& member);

/// @return the member that a node object describes; nothing when it does not
///         describe one, which a newer or broken node may have written.
std::optional<peer> ReadNodeObject(const store::object& stored);

/// Where a platform reply is due.
enum class platform_step { kRegister, kReadOwn, kList, kUnregister, kSweep };

class registrar {
 public:
  explicit registrar(core& shared);

  void Start(base::time_point now);
  /// Deletes the own object; core's effects say left when that is settled.
  void Leave(base::time_point now);

  std::optional<base::time_point> NextTimer() const;
  void OnTimer(base::time_point now);

  /// @return the members listed, when the reply was to a list.
  std::optional<std::vector<peer>> OnReply(const store::reply& reply,
                                           base::time_point now);

  /// Another node held this one for dead and may have swept its object.
  void CheckOwnObject(base::time_point now);
  void OnDead(const peer& dead, base::time_point now);

 private:
  struct asked {
    platform_step step = platform_step::kList;
    peer about;  // for kSweep the dead member
  };

  void Send(store::call call, asked why);
  void Create();
  void ReadOwn();
  void List();
  void Sweep(const peer& dead);
  void Retry(std::optional<base::time_point>& timer, base::time_point now);
  void OnOwnReply(const store::reply& reply, base::time_point now);
  void OnSweepReply(const store::reply& reply, const peer& dead);
  std::optional<std::vector<peer>> OnListReply(const store::reply& reply,
                                               base::time_point now);
  bool DescribesThisRun(const store::object& stored) const;
  std::size_t OwnRankFor(const base::node_id& dead) const;
  base::duration ListPeriod();

  core& core_;
  std::uint64_t next_call_ = 1;
  std::map<store::call_id, asked> pending_;
  std::optional<base::revision> own_version_;
  bool leaving_ = false;
  int failures_ = 0;
  std::optional<base::time_point> next_own_;
  std::optional<base::time_point> next_list_;
  std::optional<base::time_point> leave_deadline_;
  std::map<base::node_id, base::time_point> sweeps_;  // dead, when to look
};

}  // namespace flamingoshunt::membership

#endif  // FLAMINGOSHUNT_MEMBERSHIP_REGISTRAR_H_
