#include "review/parts-2/kit.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cctype>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace review {
namespace {

namespace json = boost::json;

constexpr int kHeartbeatMs = 1200;
constexpr std::size_t kPage = 500;
constexpr int kLongestRunMs = 115'000;

const auto kBegan = std::chrono::steady_clock::now();
std::mutex record_mutex;
std::ofstream record;
std::mutex processes_mutex;
std::set<pid_t> processes;
std::atomic<int> next_id = 1;

std::string Lower(std::string text) {
  for (char& each : text)
    each = static_cast<char>(std::tolower(static_cast<unsigned char>(each)));
  return text;
}

std::string Query(const std::string& target, const std::string& name) {
  const auto at = target.find('?');
  std::istringstream parts(at == std::string::npos ? ""
                                                   : target.substr(at + 1));
  for (std::string part; std::getline(parts, part, '&');) {
    if (part.rfind(name + "=", 0) == 0)
      return part.substr(name.size() + 1);
  }
  return "";
}

// @return false at the end of the stream, at an error and when time is up.
bool ReadSome(int socket, std::string& buffer, std::int64_t until_ms) {
  while (true) {
    const std::int64_t left = until_ms - NowMs();
    if (left <= 0)
      return false;
    pollfd waited{socket, POLLIN, 0};
    const int ready = poll(&waited, 1, static_cast<int>(left));
    if (ready < 0 && errno == EINTR)
      continue;
    if (ready <= 0)
      return false;
    char bytes[16384];
    const auto count = recv(socket, bytes, sizeof(bytes), 0);
    if (count <= 0)
      return false;
    buffer.append(bytes, static_cast<std::size_t>(count));
    return true;
  }
}

bool ReadExactly(int socket,
                 std::string& buffer,
                 std::size_t count,
                 std::int64_t until_ms,
                 std::string& out) {
  while (buffer.size() < count) {
    if (!ReadSome(socket, buffer, until_ms))
      return false;
  }
  out.append(buffer, 0, count);
  buffer.erase(0, count);
  return true;
}

bool ReadLine(int socket,
              std::string& buffer,
              std::int64_t until_ms,
              std::string& line) {
  while (buffer.find("\r\n") == std::string::npos) {
    if (!ReadSome(socket, buffer, until_ms))
      return false;
  }
  const auto end = buffer.find("\r\n");
  line = buffer.substr(0, end);
  buffer.erase(0, end + 2);
  return true;
}

bool ReadChunks(int socket,
                std::string& buffer,
                std::int64_t until_ms,
                std::string& body) {
  while (true) {
    std::string line;
    if (!ReadLine(socket, buffer, until_ms, line))
      return false;
    const std::size_t size = std::strtoul(line.c_str(), nullptr, 16);
    if (size == 0)
      break;
    if (!ReadExactly(socket, buffer, size, until_ms, body) ||
        !ReadLine(socket, buffer, until_ms, line))
      return false;
  }
  for (std::string line; ReadLine(socket, buffer, until_ms, line);) {
    if (line.empty())
      return true;
  }
  return false;
}

int FreePort() {
  // Free for TCP and UDP.
  for (int i = 0; i < 100; ++i) {
    int port = 0;
    const int listener = Listen(0, &port);
    const int datagrams = socket(AF_INET, SOCK_DGRAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    const bool free = bind(datagrams, reinterpret_cast<sockaddr*>(&address),
                           sizeof(address)) == 0;
    close(listener);
    close(datagrams);
    if (free)
      return port;
  }
  Finish(2, "no free port");
}

std::filesystem::path TemporaryFolder() {
  static const std::filesystem::path folder = [] {
    std::string name =
        (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (!mkdtemp(name.data()))
      std::abort();
    return std::filesystem::path(name);
  }();
  return folder;
}

void Replace(std::string& text,
             const std::string& from,
             const std::string& to) {
  for (auto at = text.find(from); at != std::string::npos;
       at = text.find(from, at + to.size()))
    text.replace(at, from.size(), to);
}

}  // namespace

std::string message::Field(const std::string& name) const {
  for (const auto& [each, value] : head) {
    if (Lower(each) == Lower(name))
      return value;
  }
  return "";
}

int message::Status() const {
  return std::atoi(target.c_str());
}

std::int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now() - kBegan)
      .count();
}

void SleepMs(std::int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

void OpenRecord(const std::string& path) {
  signal(SIGPIPE, SIG_IGN);
  record.open(path);
  std::thread([] {
    SleepMs(kLongestRunMs);
    Finish(2, "out of time");
  }).detach();
  Record(std::string("trouble: ") + (HasTrouble() ? "yes" : "no"));
}

void Record(const std::string& line) {
  const std::lock_guard lock(record_mutex);
  record << NowMs() << " ms  " << line << std::endl;
}

bool HasTrouble() {
  const char* trouble = std::getenv("TROUBLE");
  return !trouble || std::string(trouble) != "0";
}

void Finish(int code, const std::string& why) {
  Record((code == 0   ? "held: "
          : code == 1 ? "broken: "
                      : "could not run: ") +
         why);
  {
    const std::lock_guard lock(processes_mutex);
    for (const pid_t process : processes) {
      kill(process, SIGCONT);
      kill(process, SIGKILL);
      waitpid(process, nullptr, 0);
    }
  }
  std::error_code ignored;
  if (!std::getenv("KEEP_LOGS"))
    std::filesystem::remove_all(TemporaryFolder(), ignored);
  else
    std::printf("logs: %s\n", TemporaryFolder().c_str());
  std::printf("%s\n", why.c_str());
  std::fflush(nullptr);
  std::_Exit(code);
}

int Listen(int port, int* bound) {
  const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int enabled = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  if (bind(listener, reinterpret_cast<sockaddr*>(&address), sizeof(address)) !=
          0 ||
      listen(listener, 512) != 0) {
    close(listener);
    return -1;
  }
  socklen_t size = sizeof(address);
  getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size);
  *bound = ntohs(address.sin_port);
  return listener;
}

int Connect(int port, int timeout_ms) {
  const int connection =
      socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  if (connect(connection, reinterpret_cast<sockaddr*>(&address),
              sizeof(address)) != 0) {
    pollfd waited{connection, POLLOUT, 0};
    int error = 0;
    socklen_t size = sizeof(error);
    if (errno != EINPROGRESS || poll(&waited, 1, timeout_ms) <= 0 ||
        getsockopt(connection, SOL_SOCKET, SO_ERROR, &error, &size) != 0 ||
        error != 0) {
      close(connection);
      return -1;
    }
  }
  fcntl(connection, F_SETFL, fcntl(connection, F_GETFL) & ~O_NONBLOCK);
  const int enabled = 1;
  setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
  return connection;
}

bool SendAll(int socket, const std::string& bytes) {
  for (std::size_t sent = 0; sent < bytes.size();) {
    const auto count =
        send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0)
      return false;
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

bool ReadMessage(int socket,
                 std::string& buffer,
                 bool is_answer,
                 std::int64_t until_ms,
                 message& out) {
  out = {};
  std::string line;
  if (!ReadLine(socket, buffer, until_ms, line))
    return false;
  std::istringstream first(line);
  first >> out.method >> out.target;
  while (true) {
    if (!ReadLine(socket, buffer, until_ms, line))
      return false;
    if (line.empty())
      break;
    const auto colon = line.find(':');
    std::string value =
        colon == std::string::npos ? "" : line.substr(colon + 1);
    value.erase(0, value.find_first_not_of(' '));
    out.head.emplace_back(line.substr(0, colon), value);
  }
  const std::string length = out.Field("Content-Length");
  if (Lower(out.Field("Transfer-Encoding")) == "chunked")
    out.complete = ReadChunks(socket, buffer, until_ms, out.body);
  else if (!length.empty())
    out.complete =
        ReadExactly(socket, buffer, std::strtoul(length.c_str(), nullptr, 10),
                    until_ms, out.body);
  else
    out.complete = !is_answer;
  return true;
}

std::string Answer(int status, const fields& head, const std::string& body) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " S\r\n";
  for (const auto& [name, value] : head)
    text.append(name).append(": ").append(value).append("\r\n");
  return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

message Call(int port, const std::string& request, int timeout_ms) {
  message answer;
  const int connection = Connect(port, timeout_ms);
  if (connection < 0)
    return answer;
  std::string buffer;
  if (SendAll(connection, request))
    ReadMessage(connection, buffer, true, NowMs() + timeout_ms, answer);
  close(connection);
  return answer;
}

tcp_server::tcp_server(handler serve, int port) : serve_(std::move(serve)) {
  listener_ = Listen(port, &port_);
  if (listener_ < 0)
    Finish(2, "can't listen");
  thread_ = std::thread([this] { Accept(); });
}

tcp_server::~tcp_server() {
  Stop();
}

void tcp_server::Stop() {
  if (stopped_.exchange(true))
    return;
  shutdown(listener_, SHUT_RDWR);
  thread_.join();
  close(listener_);
  while (true) {
    {
      const std::lock_guard lock(mutex_);
      if (open_.empty())
        return;
      for (const int each : open_)
        shutdown(each, SHUT_RDWR);
    }
    SleepMs(2);
  }
}

void tcp_server::Accept() {
  while (!stopped_) {
    const int connection = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (connection < 0)
      continue;
    const int enabled = 1;
    setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
    const std::lock_guard lock(mutex_);
    open_.insert(connection);
    std::thread([this, connection] {
      serve_(connection);
      const std::lock_guard guard(mutex_);
      close(connection);
      open_.erase(connection);
    }).detach();
  }
}

store::store() : server_([this](int socket) { Serve(socket); }) {}

void store::Serve(int socket) {
  std::string buffer;
  message request;
  while (ReadMessage(socket, buffer, false, NowMs() + 600'000, request)) {
    if (!SendAll(socket, Handle(request)))
      return;
  }
}

std::string store::Handle(const message& request) {
  const std::string path = request.target.substr(0, request.target.find('?'));
  const std::string prefix = "/-/objects/";
  if (path.rfind(prefix, 0) != 0)
    return Answer(404, {}, "{}");
  const std::string rest = path.substr(prefix.size());
  const auto slash = rest.find('/');
  const std::string kind = rest.substr(0, slash);
  const std::string name =
      slash == std::string::npos ? "" : rest.substr(slash + 1);
  if (request.method == "POST" || request.method == "PUT")
    return Write(request, kind, name);
  if (request.method == "DELETE") {
    Delete(kind, name);
    return Answer(200, {}, "{}");
  }
  if (const std::string watch = Query(request.target, "watch"); !watch.empty())
    return Watch(kind, std::strtoull(watch.c_str(), nullptr, 10),
                 std::atoi(Query(request.target, "wait_ms").c_str()));
  if (name.empty())
    return List(kind, Query(request.target, "start_after"));
  const std::lock_guard lock(mutex_);
  const auto found = kinds_[kind].find(name);
  return found == kinds_[kind].end()
             ? Answer(404, {}, "{}")
             : Answer(200, {}, json::serialize(found->second));
}

std::string store::List(const std::string& kind, const std::string& after) {
  const std::lock_guard lock(mutex_);
  json::array items;
  bool more = false;
  const auto& objects = kinds_[kind];
  for (auto it = objects.upper_bound(after); it != objects.end(); ++it) {
    more = items.size() == kPage;
    if (more)
      break;
    items.push_back(it->second);
  }
  return Answer(200, {},
                json::serialize(json::object{{"items", std::move(items)},
                                             {"more", more},
                                             {"store_revision", revision_}}));
}

std::string store::Watch(const std::string& kind,
                         std::uint64_t after,
                         int wait_ms) {
  const auto until = NowMs() + wait_ms;
  std::unique_lock lock(mutex_);
  while (true) {
    json::array events;
    for (const change& each : history_) {
      if (each.revision > after && each.kind == kind)
        events.push_back(
            json::object{{"deleted", each.deleted}, {"object", each.object}});
    }
    const auto left = until - NowMs();
    if (!events.empty() || left <= 0)
      return Answer(
          200, {},
          json::serialize(json::object{{"events", std::move(events)},
                                       {"store_revision", revision_}}));
    changed_.wait_for(lock, std::chrono::milliseconds(left));
  }
}

std::string store::Write(const message& request,
                         const std::string& kind,
                         std::string name) {
  const auto body = json::parse(request.body).as_object();
  const auto& metadata = body.at("metadata").as_object();
  const bool create = name.empty();
  if (create)
    name = metadata.at("name").as_string();
  const std::lock_guard lock(mutex_);
  const auto found = kinds_[kind].find(name);
  const bool exists = found != kinds_[kind].end();
  if (create != !exists)
    return exists ? Answer(409, {}, json::serialize(found->second))
                  : Answer(404, {}, "{}");
  const auto* expected = metadata.if_contains("revision");
  if (exists && expected &&
      expected->to_number<std::uint64_t>() !=
          found->second["metadata"].at("revision").to_number<std::uint64_t>())
    return Answer(409, {}, json::serialize(found->second));
  PutLocked(kind, name, body.at("spec"));
  return Answer(create ? 201 : 200, {}, json::serialize(kinds_[kind][name]));
}

void store::Put(const std::string& kind,
                const std::string& name,
                json::value spec) {
  const std::lock_guard lock(mutex_);
  PutLocked(kind, name, std::move(spec));
}

void store::PutLocked(const std::string& kind,
                      const std::string& name,
                      json::value spec) {
  json::object& object = kinds_[kind][name];
  if (object.contains("spec") && object["spec"] == spec)
    return;
  ++revision_;
  if (!object.contains("metadata"))
    object["metadata"] = {{"name", name},
                          {"created", revision_},
                          {"finalizers", json::array()},
                          {"deleting", false}};
  object["metadata"].as_object()["revision"] = revision_;
  object["spec"] = std::move(spec);
  object["status"] = nullptr;
  history_.push_back({revision_, kind, false, object});
  changed_.notify_all();
}

void store::Delete(const std::string& kind, const std::string& name) {
  const std::lock_guard lock(mutex_);
  const auto found = kinds_[kind].find(name);
  if (found == kinds_[kind].end())
    return;
  found->second["metadata"].as_object()["revision"] = ++revision_;
  history_.push_back({revision_, kind, true, found->second});
  kinds_[kind].erase(found);
  changed_.notify_all();
}

replica::replica(store& in, std::string id, std::string service, int slots)
    : store_(in),
      id_(std::move(id)),
      service_(std::move(service)),
      slots_(slots) {}

replica::~replica() {
  ended_ = true;
  if (beat_.joinable())
    beat_.join();
}

void replica::Start() {
  server_ = std::make_unique<tcp_server>([this](int socket) { Serve(socket); },
                                         port_);
  port_ = server_->port();
  born_ms_ = std::chrono::duration_cast<std::chrono::milliseconds>(
                 std::chrono::system_clock::now().time_since_epoch())
                 .count();
  running_ = true;
  WriteEntry();
  Record("replica " + id_ + " starts at port " + std::to_string(port_));
  if (!beat_.joinable())
    beat_ = std::thread([this] { Renew(); });
}

void replica::Crash() {
  running_ = false;
  Record("replica " + id_ + " crashes");
  server_->Stop();
}

void replica::Leave() {
  running_ = false;
  store_.Delete("servers", id_);
  server_->Stop();
}

void replica::Renew() {
  auto next = NowMs() + kHeartbeatMs;
  for (; !ended_; SleepMs(10)) {
    if (NowMs() < next)
      continue;
    next += kHeartbeatMs;
    if (running_ && !quiet)
      WriteEntry();
  }
}

void replica::WriteEntry() {
  store_.Put("servers", id_,
             json::object{{"service", service_},
                          {"address", "127.0.0.1:" + std::to_string(port_)},
                          {"zone", "abbotsford"},
                          {"version", "v1"},
                          {"slots", slots_},
                          {"state", "ready"},
                          {"cold_remaining_ms", 0},
                          {"born", born_ms_},
                          {"seq", ++beats_}});
}

void replica::Serve(int socket) {
  std::string buffer;
  message request;
  while (ReadMessage(socket, buffer, false, NowMs() + idle_ms, request)) {
    if (request.target == "/health") {
      SendAll(socket, Answer(200, {{"X-Flamingoshunt-Replica-Id", id_}}, ""));
      continue;
    }
    const std::string expected =
        request.Field("X-Flamingoshunt-Expect-Instance");
    if (!expected.empty() && expected != id_) {
      SendAll(socket, Answer(421, {{"X-Flamingoshunt-Replica-Id", id_}}, ""));
      continue;
    }
    if (on_request && on_request(socket, request))
      continue;
    SleepMs(work_ms);
    const std::string body = "done by " + id_;
    if (!SendAll(socket, Answer(200, SignedFields(request, body), body)))
      return;
  }
}

fields SignedFields(const message& request, const std::string& body) {
  const std::string id = request.Field("X-Flamingoshunt-Request-Id");
  return {{"X-Flamingoshunt-Request-Id", id},
          {"X-Flamingoshunt-Response-Signature",
           "sig." + id + "." + std::to_string(body.size())},
          {"Content-Type", "text/plain"}};
}

node::node(const std::string& name, const std::string& zone, int store_port)
    : name_(name) {
  caller_port_ = FreePort();
  ready_port_ = FreePort();
  const std::string local = "127.0.0.1";
  values = {{"{{node_name|json}}", '"' + name + '"'},
            {"{{region|json}}", "\"bc-south\""},
            {"{{zone|json}}", '"' + zone + '"'},
            {"{{listen.front|json}}",
             '"' + local + ':' + std::to_string(caller_port_) + '"'},
            {"{{listen.ready|json}}",
             '"' + local + ':' + std::to_string(ready_port_) + '"'},
            {"{{ip}}", local},
            {"{{internal_port_range.0}}", std::to_string(FreePort())},
            {"{{internal_port_range.1}}", std::to_string(FreePort())},
            {"{{platform.address|json}}",
             '"' + local + ':' + std::to_string(store_port) + '"'},
            {"{{limits.cpu_share|json}}", "0.17"},
            {"{{limits.link_mbps|json}}", "700.0"},
            {"{{limits.memory_mb|json}}", "182"},
            {"{{limits.max_fds|json}}", "2940"},
            {"{{bootstrap|json}}", "true"},
            {"{{bounds.retry_budget_ratio|json}}", "0.2"},
            {"{{bounds.budget_slack|json}}", "282"},
            {"{{bounds.budget_window_s|json}}", "10"},
            {"{{bounds.grace_s|json}}", "8"},
            {"{{bounds.drain_ms|json}}", "2000"},
            {"{{heartbeat_ms|json}}", std::to_string(kHeartbeatMs)}};
}

void node::Start() {
  std::ifstream file("deploy/settings.json");
  std::string text((std::istreambuf_iterator<char>(file)), {});
  // This deployment evacuates nothing.
  const std::string section = "{{#bounds.evacuate_ms}}";
  const std::string end = "{{/bounds.evacuate_ms}}";
  if (const auto at = text.find(section); at != std::string::npos)
    text.erase(at, text.find(end) + end.size() - at);
  for (const auto& [from, to] : values)
    Replace(text, from, to);
  if (text.empty() || text.find("{{") != std::string::npos)
    Finish(2, "the settings template isn't known: " + text);
  const auto settings = TemporaryFolder() / (name_ + ".json");
  const auto log = TemporaryFolder() / (name_ + ".log");
  std::ofstream(settings) << text;
  process_ = fork();
  if (process_ == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int out =
        open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    dup2(out, 1);
    dup2(out, 2);
    execl("target/flamingoshuntd", "target/flamingoshuntd", "--config",
          settings.c_str(), nullptr);
    std::_Exit(127);
  }
  const std::lock_guard lock(processes_mutex);
  processes.insert(process_);
  Record("node " + name_ + " starts");
}

void node::Signal(int number) const {
  kill(process_, number);
}

bool node::AwaitEnd(int timeout_ms) {
  for (const auto until = NowMs() + timeout_ms; NowMs() < until; SleepMs(10)) {
    int status = 0;
    if (waitpid(process_, &status, WNOHANG) != process_)
      continue;
    const std::lock_guard lock(processes_mutex);
    processes.erase(process_);
    Record("node " + name_ + " ended, status " + std::to_string(status));
    return true;
  }
  return false;
}

bool node::IsReady() const {
  return Call(ready_port_, "GET /-/ready HTTP/1.1\r\nHost: n\r\n\r\n", 1000)
             .Status() == 200;
}

bool node::AwaitReady(int timeout_ms) const {
  for (const auto until = NowMs() + timeout_ms; NowMs() < until; SleepMs(50)) {
    if (IsReady())
      return true;
  }
  return false;
}

json::object MakeConfiguration(int version,
                               json::array routes,
                               json::array services,
                               json::array tenants) {
  return {{"version", version},
          {"routes", std::move(routes)},
          {"services", std::move(services)},
          {"limits",
           {{"max_header_bytes", 16384},
            {"max_body_bytes", 4194304},
            {"header_timeout_ms", 3000},
            {"idle_timeout_ms", 15000}}},
          {"tenants", std::move(tenants)}};
}

json::object MakeRoute(const std::string& prefix,
                       const std::string& kind,
                       const std::string& service) {
  return {{"name", "r" + prefix},
          {"host", "ficu95.example"},
          {"path_prefix", prefix},
          {"kind", kind},
          {"timeout_ms", 800},
          {"target_latency_ms", 150},
          {"priority", 2},
          {"service", service},
          {"max_attempts", kind == "safe" ? 2 : 1},
          {"allow_anonymous", false}};
}

std::string MakeRequest(const std::string& method,
                        const std::string& target,
                        const std::string& key,
                        std::string* id,
                        const std::string& body) {
  char text[32];
  std::snprintf(text, sizeof(text), "%016x", next_id++);
  if (id)
    *id = text;
  std::string request = method + " " + target +
                        " HTTP/1.1\r\nHost: ficu95.example\r\n" +
                        "X-Flamingoshunt-Request-Id: " + text +
                        "\r\nX-Flamingoshunt-Deadline-Ms: 1500\r\n";
  if (!key.empty())
    request += "Authorization: Token " + key + "\r\n";
  if (!body.empty() || method == "POST")
    request += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  return request + "\r\n" + body;
}

}  // namespace review
