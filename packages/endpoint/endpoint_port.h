// Defines the endpoint interface, one of the five external interfaces: the
// operations that the replica and delivery packages need from the client of
// endpoint instances. The daemon uses HTTP; tests answer in memory.
#ifndef FLAMINGOSHUNT_ENDPOINT_ENDPOINT_PORT_H_
#define FLAMINGOSHUNT_ENDPOINT_ENDPOINT_PORT_H_

#include "endpoint/messages.h"

namespace flamingoshunt::endpoint {

class endpoint_port {
 public:
  virtual ~endpoint_port() = default;

  /// Sends an order; exactly one order_result follows.
  virtual void SendOrder(const order& request) = 0;

  /// Requests the report of one instance; a report or nothing follows.
  virtual void RequestReport(const instance& target) = 0;

  /// Starts an attempt: at most one answer_head, chunks, then exactly one
  /// answer_end or answer_broken.
  virtual void Start(const attempt& request) = 0;

  /// Cancels an attempt at the endpoint; answers in flight may still arrive.
  virtual void Cancel(base::attempt_id id) = 0;
};

}  // namespace flamingoshunt::endpoint

#endif  // FLAMINGOSHUNT_ENDPOINT_ENDPOINT_PORT_H_
