// Defines the HTTP side of the endpoint stand-in: one process plays many
// instances, each with an address of its own, and one control address through
// which tests switch faults on and read the ledger of what ran.
//
// Control messages (JSON):
//   POST /faults {"instance":"i-1","dead":true}
//   POST /faults {"break_after_tokens":5,"times":1}   cuts streams midway
//   POST /faults {"hang_after_tokens":5,"times":1}    goes silent midway
//   GET  /ledger  {"runs":{"<request id>":1,...},"services":2}   service calls
//   run
#ifndef FLAMINGOSHUNT_STAND_INS_ENDPOINT_HOST_H_
#define FLAMINGOSHUNT_STAND_INS_ENDPOINT_HOST_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/clock.h"
#include "runtime/http_server.h"
#include "stand_ins/endpoint_instance.h"

namespace flamingoshunt::stand_ins {

struct endpoint_host_options {
  endpoint_instance_options instance;
  base::duration token_delay = std::chrono::milliseconds(2);
  std::uint64_t default_tokens = 40;
};

/// Faults of request handling; a count of zero times is off.
struct stream_faults {
  int times = 0;
  std::uint64_t break_after_tokens = 0;
  std::uint64_t hang_after_tokens = 0;
};

class endpoint_host {
 public:
  endpoint_host(boost::asio::io_context& loop,
                endpoint_host_options options,
                const base::clock& clock);

  /// Adds an instance listening at @p address. @return its bound address.
  std::string Add(const base::instance_id& id, const std::string& address);

  /// Serves the control messages at @p address. @return its bound address.
  std::string Control(const std::string& address);

  /// Closes every connection.
  void Close();

 private:
  struct hosted {
    endpoint_instance instance;
    std::unique_ptr<runtime::http_server> server;
    std::string address;
    bool dead = false;
  };

  void Handle(hosted& self, runtime::http_exchange& exchange);
  void HandleOrder(hosted& self, runtime::http_exchange& exchange);
  void HandleRequest(hosted& self, runtime::http_exchange& exchange);
  void RunStream(hosted& self, runtime::http_exchange& exchange);
  void RunService(hosted& self, runtime::http_exchange& exchange);
  void HandleControl(runtime::http_exchange& exchange);
  void SetFaults(const std::string& body);
  void SetDead(hosted& target, bool dead);
  bool MembersAlive(const hosted& self) const;
  std::string LedgerJson() const;

  boost::asio::io_context& loop_;
  endpoint_host_options options_;
  const base::clock& clock_;
  std::map<base::instance_id, hosted> instances_;
  std::unique_ptr<runtime::http_server> control_;
  stream_faults faults_;
  std::map<std::string, int> runs_;
  int service_runs_ = 0;
};

/// @return the text of one token; the same on every instance, so that a stream
///         broken here goes on there with the same words.
std::string TokenText(std::string_view caller_body, std::uint64_t offset);

}  // namespace flamingoshunt::stand_ins

#endif  // FLAMINGOSHUNT_STAND_INS_ENDPOINT_HOST_H_
