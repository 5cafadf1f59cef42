// Defines what the I/O threads and the dispatch thread say to each other.
#ifndef FLAMINGOSHUNT_DAEMON_DISPATCH_MESSAGES_H_
#define FLAMINGOSHUNT_DAEMON_DISPATCH_MESSAGES_H_

#include <variant>

#include "admission/messages.h"

namespace flamingoshunt::daemon {

/// From an I/O thread. Everything but an ask must not be lost.
using dispatch_request = std::variant<admission::slot_request,
                                      admission::progress,
                                      admission::release,
                                      admission::withdrawal>;

/// To the I/O thread that asked.
using dispatch_answer =
    std::variant<admission::grant, admission::refusal, admission::preemption>;

}  // namespace flamingoshunt::daemon

#endif  // FLAMINGOSHUNT_DAEMON_DISPATCH_MESSAGES_H_
