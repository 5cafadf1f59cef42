// Stands in for the store of the users' platform: objects by kind and name with
// conditional writes, paginated lists, and watches by long polls.
#ifndef FLAMINGOSHUNT_STAND_INS_NATIVE_NATIVE_STORE_H_
#define FLAMINGOSHUNT_STAND_INS_NATIVE_NATIVE_STORE_H_

#include <boost/json.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>

#include "runtime/fiber_wait.h"
#include "runtime/http_server.h"
#include "stand_ins/native/entry_registry.h"

namespace flamingoshunt::stand_ins {

class native_store final : public entry_registry {
 public:
  native_store(boost::asio::io_context& loop, const std::string& address);

  std::string address() const { return server_->address(); }
  /// Another address of the store, whose callers alone it may turn away.
  std::string second_address() const { return second_server_->address(); }
  void Start() {
    server_->Start();
    second_server_->Start();
  }
  void Close() {
    server_->CloseAll();
    second_server_->CloseAll();
  }

  /// Writes unconditionally, as an operator or a replica does.
  void Put(const std::string& kind,
           const std::string& name,
           boost::json::value spec) override;
  void Delete(const std::string& kind, const std::string& name) override;

  /// Cuts off the watches that are waiting for events.
  void CutWatches() { ++watch_cuts_; }

  /// A copy of all objects, as of one revision.
  struct backup {
    std::map<std::string, std::map<std::string, boost::json::object>> kinds;
    std::uint64_t revision = 0;
  };
  backup Backup() const { return {kinds_, revision_}; }
  /// Comes back from @p copy in a new era: later changes are lost, and their
  /// revisions are assigned again.
  void Restore(const backup& copy);

  bool refuse_calls = false;  ///< Answers every call with 503.
  /// The same for calls to second_address().
  bool refuse_second_address = false;
  int calls = 0;

 private:
  struct change {
    std::uint64_t revision = 0;
    std::string kind;
    bool deleted = false;
    boost::json::object object;
  };

  void Handle(runtime::http_exchange& exchange);
  void SendJson(runtime::http_exchange& exchange,
                int status,
                const boost::json::value& body) const;
  void List(runtime::http_exchange& exchange,
            const std::string& kind,
            const std::string& after);
  void Watch(runtime::http_exchange& exchange,
             const std::string& kind,
             std::uint64_t after,
             base::duration wait);
  void Write(runtime::http_exchange& exchange,
             const std::string& kind,
             std::string name);
  void RecordChange(const std::string& kind,
                    const std::string& name,
                    bool deleted);

  std::map<std::string, std::map<std::string, boost::json::object>> kinds_;
  std::deque<change> history_;
  std::uint64_t revision_ = 100;
  std::uint64_t era_ = 1;
  int watch_cuts_ = 0;
  runtime::fiber_event changed_;
  std::unique_ptr<runtime::http_server> server_;
  std::unique_ptr<runtime::http_server> second_server_;
};

}  // namespace flamingoshunt::stand_ins

#endif  // FLAMINGOSHUNT_STAND_INS_NATIVE_NATIVE_STORE_H_
