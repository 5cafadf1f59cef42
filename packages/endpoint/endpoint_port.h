// Defines the endpoint interface, one of the five outside interfaces: what the
// replica and delivery slices ask of whatever talks to endpoint instances. The
// daemon talks HTTP; tests answer from memory.
#ifndef FLAMINGOSHUNT_ENDPOINT_ENDPOINT_PORT_H_
#define FLAMINGOSHUNT_ENDPOINT_ENDPOINT_PORT_H_

#include "endpoint/messages.h"

namespace flamingoshunt::endpoint {

class endpoint_port {
 public:
  virtual ~endpoint_port() = default;

  /// Sends an order; exactly one order_result follows.
  virtual void SendOrder(const order& request) = 0;

  /// Asks one instance for its report; a report or nothing follows.
  virtual void RequestReport(const instance& target) = 0;

  /// Starts an attempt: at most one answer_head, chunks, then exactly one
  /// answer_end or answer_broken.
  virtual void Start(const attempt& request) = 0;

  /// Stops an attempt and tells the endpoint; answers under way may still come.
  virtual void Cancel(base::attempt_id id) = 0;
};

}  // namespace flamingoshunt::endpoint

#endif  // FLAMINGOSHUNT_ENDPOINT_ENDPOINT_PORT_H_
