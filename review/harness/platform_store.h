// Stands in for the platform's store: objects by kind and name with conditional
// writes, lists, and watches by long polls. A spec is kept as the JSON text
// that its writer sent, so that any writer's bytes come back as they were.
#ifndef FLAMINGOSHUNT_REVIEW_HARNESS_PLATFORM_STORE_H_
#define FLAMINGOSHUNT_REVIEW_HARNESS_PLATFORM_STORE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "runtime/fiber_wait.h"
#include "runtime/http_server.h"

namespace flamingoshunt::review {

class platform_store {
 public:
  explicit platform_store(boost::asio::io_context& loop);

  void Start() { server_->Start(); }
  std::string address() const { return server_->address(); }

  /// Writes unconditionally, as the operator or a replica does.
  /// @param spec a JSON text.
  void Put(const std::string& kind,
           const std::string& name,
           const std::string& spec);
  void Delete(const std::string& kind, const std::string& name);

  /// @return the spec, or an empty text.
  std::string Spec(const std::string& kind, const std::string& name) const;

 private:
  struct object {
    std::uint64_t revision = 0;
    std::string spec;
  };
  struct change {
    std::uint64_t revision = 0;
    std::string kind;
    std::string text;  ///< The event.
  };

  void Handle(runtime::http_exchange& exchange);
  void Write(runtime::http_exchange& exchange,
             const std::string& kind,
             std::string name);
  void List(runtime::http_exchange& exchange, const std::string& kind);
  void Watch(runtime::http_exchange& exchange,
             const std::string& kind,
             const std::string& query);

  std::map<std::string, std::map<std::string, object>> kinds_;
  std::vector<change> history_;
  std::uint64_t revision_ = 100;
  std::unique_ptr<runtime::http_server> server_;
};

}  // namespace flamingoshunt::review

#endif  // FLAMINGOSHUNT_REVIEW_HARNESS_PLATFORM_STORE_H_
