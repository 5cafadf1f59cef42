#include "fleet/replica.h"

namespace flamingoshunt::fleet {

const char* NameOf(member_state state) {
  switch (state) {
    case member_state::kJoining:
      return "joining";
    case member_state::kReady:
      return "ready";
    case member_state::kOpen:
      return "open";
    case member_state::kClosing:
      return "closing";
    case member_state::kBroken:
      return "broken";
  }
  return "unknown";
}

}  // namespace flamingoshunt::fleet
