// Defines the registry of a stand-in replica that runs as a process of its own:
// it writes to the store over HTTP, in order, from one fiber.
#ifndef FLAMINGOSHUNT_STAND_INS_NATIVE_REMOTE_REGISTRY_H_
#define FLAMINGOSHUNT_STAND_INS_NATIVE_REMOTE_REGISTRY_H_

#include <optional>
#include <string>

#include "runtime/fiber_wait.h"
#include "runtime/http_client.h"
#include "stand_ins/native/entry_registry.h"

namespace flamingoshunt::stand_ins {

class remote_registry final : public entry_registry {
 public:
  /// @param store "IP:port".
  remote_registry(boost::asio::io_context& loop, std::string store);

  /// Starts the fiber that writes.
  void Start();

  void Put(const std::string& kind,
           const std::string& name,
           boost::json::value spec) override;
  void Delete(const std::string& kind, const std::string& name) override;

 private:
  struct write {
    std::string kind;
    std::string name;
    std::optional<boost::json::value> spec;  ///< Empty to delete.
  };

  /// Writes until the store has answered.
  void Carry(const write& next);
  int Send(const char* method,
           const std::string& path,
           const boost::json::value& body);

  std::string store_;
  runtime::connection_pool connections_;
  runtime::fiber_queue<write> writes_;
};

}  // namespace flamingoshunt::stand_ins

#endif  // FLAMINGOSHUNT_STAND_INS_NATIVE_REMOTE_REGISTRY_H_
