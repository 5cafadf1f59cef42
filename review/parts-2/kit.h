// What the cases of the second review share: a store, plain replicas and
// callers as the users' pages describe them, and the node as a process of its
// own. Everything listens on loopback addresses.
#ifndef FLAMINGOSHUNT_REVIEW_PARTS_2_KIT_H_
#define FLAMINGOSHUNT_REVIEW_PARTS_2_KIT_H_

#include <sys/types.h>

#include <boost/json.hpp>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using fields = std::vector<std::pair<std::string, std::string>>;

/// A request or an answer; the first line is split at its blanks.
struct message {
  std::string method;  ///< Or the version of an answer.
  std::string target;  ///< Or the status.
  fields head;
  std::string body;
  /// Ended as its framing says.
  bool complete = false;
  /// @return the first field of that name, or "".
  std::string Field(const std::string& name) const;
  int Status() const;
};

/// Milliseconds since the program began.
std::int64_t NowMs();
void SleepMs(std::int64_t ms);

/// Writes a line to record.txt, with the time.
void Record(const std::string& line);
void OpenRecord(const std::string& path);

/// @return whether the run is with the disruption (TROUBLE is not 0).
bool HasTrouble();

/// Ends the program and all that it started. @param code 0 held, 1 broken, 2
/// could not run.
[[noreturn]] void Finish(int code, const std::string& why);

// --- Sockets.

int Listen(int port, int* bound);
/// @return -1 if the connection was refused or timed out.
int Connect(int port, int timeout_ms);
bool SendAll(int socket, const std::string& bytes);
/// Reads one message. @param buffer what was read beyond the last one.
bool ReadMessage(int socket,
                 std::string& buffer,
                 bool is_answer,
                 std::int64_t until_ms,
                 message& out);
std::string Answer(int status, const fields& head, const std::string& body);

/// One request on a connection of its own.
/// @return a message whose status is 0 if no answer came.
message Call(int port, const std::string& request, int timeout_ms);

/// A thread for each connection.
class tcp_server {
 public:
  using handler = std::function<void(int socket)>;
  explicit tcp_server(handler serve, int port = 0);
  ~tcp_server();
  tcp_server(const tcp_server&) = delete;
  tcp_server& operator=(const tcp_server&) = delete;
  int port() const { return port_; }
  /// Closes the listener and all connections.
  void Stop();

 private:
  void Accept();
  handler serve_;
  int port_ = 0;
  int listener_ = -1;
  std::mutex mutex_;
  std::set<int> open_;
  std::atomic<bool> stopped_ = false;
  std::thread thread_;
};

/// The platform's store.
class store {
 public:
  store();
  int port() const { return server_.port(); }
  void Put(const std::string& kind,
           const std::string& name,
           boost::json::value spec);
  void Delete(const std::string& kind, const std::string& name);

 private:
  struct change {
    std::uint64_t revision;
    std::string kind;
    bool deleted;
    boost::json::object object;
  };
  void Serve(int socket);
  std::string Handle(const message& request);
  std::string List(const std::string& kind, const std::string& after);
  std::string Watch(const std::string& kind, std::uint64_t after, int wait_ms);
  std::string Write(const message& request,
                    const std::string& kind,
                    std::string name);
  void PutLocked(const std::string& kind,
                 const std::string& name,
                 boost::json::value spec);
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, std::map<std::string, boost::json::object>> kinds_;
  std::vector<change> history_;
  std::uint64_t revision_ = 10;
  tcp_server server_;
};

/// A replica of a plain service. It registers, renews its entry, and answers.
class replica {
 public:
  /// @return whether it has answered; otherwise the replica does.
  using hook = std::function<bool(int socket, const message& request)>;
  replica(store& in, std::string id, std::string service, int slots);
  ~replica();
  replica(const replica&) = delete;
  replica& operator=(const replica&) = delete;

  /// A new process under the same id, at the same address.
  void Start();
  /// Its process ends at once; its entry remains until it lapses.
  void Crash();
  /// Its entry is removed, and it ends.
  void Leave();
  bool running() const { return running_; }
  const std::string& id() const { return id_; }
  int port() const { return port_; }

  /// Set before Start. Called when a request that is meant for this replica has
  /// been read whole.
  hook on_request;
  int work_ms = 10;
  /// Closes a channel that rests for so long.
  int idle_ms = 600'000;
  /// Writes its entry no more, and serves on.
  std::atomic<bool> quiet = false;

 private:
  void Serve(int socket);
  void Renew();
  void WriteEntry();
  store& store_;
  std::string id_;
  std::string service_;
  int slots_;
  int port_ = 0;
  std::int64_t born_ms_ = 0;
  std::uint64_t beats_ = 0;
  std::atomic<bool> running_ = false;
  std::atomic<bool> ended_ = false;
  std::unique_ptr<tcp_server> server_;
  std::thread beat_;
};

/// @return the fields that each answer of a replica has.
fields SignedFields(const message& request, const std::string& body);

/// One node, started with the command and the template of the deploy file.
class node {
 public:
  node(const std::string& name, const std::string& zone, int store_port);
  void Start();
  void Signal(int number) const;
  /// @return whether it has ended within the time; its exit is recorded.
  bool AwaitEnd(int timeout_ms);
  int caller_port() const { return caller_port_; }
  int ready_port() const { return ready_port_; }
  /// @return whether its ready address says 200.
  bool IsReady() const;
  bool AwaitReady(int timeout_ms) const;
  /// Values of the template that differ from those of a small deployment.
  std::map<std::string, std::string> values;

 private:
  std::string name_;
  int caller_port_ = 0;
  int ready_port_ = 0;
  pid_t process_ = -1;
};

/// @return a configuration with the usual limits.
boost::json::object MakeConfiguration(int version,
                                      boost::json::array routes,
                                      boost::json::array services,
                                      boost::json::array tenants);
boost::json::object MakeRoute(const std::string& prefix,
                              const std::string& kind,
                              const std::string& service);

/// @return the text of a request with a new id, which it puts into @p id.
std::string MakeRequest(const std::string& method,
                        const std::string& target,
                        const std::string& key,
                        std::string* id,
                        const std::string& body = "");

}  // namespace review

#endif  // FLAMINGOSHUNT_REVIEW_PARTS_2_KIT_H_
