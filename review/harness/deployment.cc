#include "review/harness/deployment.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/fiber/operations.hpp>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <random>
#include <sstream>
#include <utility>

#include "runtime/fiber_scheduler.h"

namespace flamingoshunt::review {
namespace {

namespace json = boost::json;
using std::chrono::milliseconds;

constexpr char kHost[] = "room.example";
constexpr rlim_t kMaxFiles = 16384;

// A port below those that the system gives to outgoing connections, so that a
// node finds it free when it starts again.
std::uint16_t FreePort() {
  constexpr int kFirst = 20000;
  constexpr int kLast = 32000;
  static std::mt19937 random{std::random_device()()};
  boost::asio::io_context loop;
  while (true) {
    const auto port = static_cast<std::uint16_t>(
        std::uniform_int_distribution<>(kFirst, kLast)(random));
    // Peers use datagrams at the same port.
    boost::asio::ip::tcp::acceptor probe(loop);
    boost::asio::ip::udp::socket datagrams(loop);
    boost::system::error_code error;
    const auto host = boost::asio::ip::address_v4::loopback();
    probe.open(boost::asio::ip::tcp::v4());
    probe.bind({host, port}, error);
    if (error)
      continue;
    datagrams.open(boost::asio::ip::udp::v4());
    datagrams.bind({host, port}, error);
    if (!error)
      return port;
  }
}

std::string Loopback(std::uint16_t port) {
  return "127.0.0.1:" + std::to_string(port);
}

json::object Route(const std::string& prefix,
                   const std::string& kind,
                   int attempts) {
  return {{"name", "r" + prefix},
          {"host", kHost},
          {"path_prefix", prefix},
          {"kind", kind},
          {"timeout_ms", 800},
          {"target_latency_ms", 150},
          {"priority", 2},
          {"service", "room-ops"},
          {"max_attempts", attempts},
          {"allow_anonymous", false}};
}

runtime::http_request MakeCall(const std::string& method,
                               const std::string& path,
                               const std::string& id,
                               milliseconds deadline) {
  auto request = runtime::MakeRequest(method, path, kHost,
                                      method == "GET" ? "" : "order " + id);
  request.set("X-Flamingoshunt-Request-Id", id);
  request.set("X-Flamingoshunt-Deadline-Ms", std::to_string(deadline.count()));
  request.set("Authorization", "Token key-1");
  return request;
}

// The command of the deploy file's role.
std::vector<std::string> RunLine(const std::string& settings) {
  std::ifstream file("deploy/system.toml");
  std::string line;
  while (std::getline(file, line)) {
    if (line.rfind("run = \"", 0) != 0)
      continue;
    std::istringstream words(line.substr(7, line.rfind('"') - 7));
    std::vector<std::string> command;
    for (std::string word; words >> word;)
      command.push_back(word == "/etc/flamingoshunt/node.json" ? settings
                                                               : word);
    return command;
  }
  return {};
}

}  // namespace

void Sleep(milliseconds time) {
  boost::this_fiber::sleep_for(time);
}

bool WithTrouble() {
  const char* trouble = std::getenv("TROUBLE");
  return !trouble || std::string(trouble) != "0";
}

deployment::deployment(boost::asio::io_context& loop)
    : loop_(loop), store_(loop), began_(std::chrono::steady_clock::now()) {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  folder_ = mkdtemp(pattern.data());
  const char* record = std::getenv("RECORD");
  record_.open(record ? record : "record.txt");
  store_.Start();
}

deployment::~deployment() {
  for (std::size_t i = 0; i < nodes_.size(); ++i)
    KillNode(i);
  if (std::getenv("KEEP"))
    std::cerr << folder_ << '\n';
  else
    std::filesystem::remove_all(folder_);
}

plain_replica& deployment::AddReplica(const plain_replica_options& options) {
  replicas_.push_back(std::make_unique<plain_replica>(loop_, options, store_));
  replicas_.back()->Start();
  return *replicas_.back();
}

void deployment::AddNode() {
  node added;
  added.name = "front-" + std::to_string(nodes_.size() + 1);
  added.caller = Loopback(FreePort());
  added.ready = Loopback(FreePort());
  added.settings = folder_ + "/" + added.name + ".json";
  added.log = folder_ + "/" + added.name + ".log";
  const std::string peer = Loopback(FreePort());
  // As the template of the deploy file, filled in.
  const json::object settings{
      {"node",
       {{"id", added.name}, {"region", "r1"}, {"failure_domain", "z1"}}},
      {"listen",
       {{"caller", added.caller},
        {"peer", peer},
        {"admin", Loopback(FreePort())}}},
      {"platform",
       {{"addresses", json::array{json::string(store_.address())}},
        {"backoff_low_ms", 100},
        {"backoff_high_ms", 600}}},
      {"gateway",
       {{"ready", added.ready},
        {"passed_requests", peer},
        {"cores", 0.17},
        {"link_mbps", 700.0},
        {"first_start", true},
        {"retry_ratio", 0.2},
        {"retry_slack", 282},
        {"retry_window_s", 10},
        {"grace_s", 8},
        {"replica_drain_ms", 2000},
        {"replica_heartbeat_ms", 1200}}}};
  std::ofstream(added.settings) << json::serialize(settings);
  nodes_.push_back(std::move(added));
}

void deployment::StartNode(std::size_t index) {
  node& started = nodes_.at(index);
  std::vector<std::string> command = RunLine(started.settings);
  if (command.empty())
    return;
  started.ending.clear();
  started.pid = fork();
  if (started.pid != 0)
    return;
  // Whatever ends the case ends its nodes.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int log =
      open(started.log.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0600);
  dup2(log, STDOUT_FILENO);
  dup2(log, STDERR_FILENO);
  // Sockets of the stand-ins aren't the node's.
  for (int descriptor = 3; descriptor < static_cast<int>(kMaxFiles);
       ++descriptor)
    close(descriptor);
  setenv("FLAMINGOSHUNT_SETTINGS", started.settings.c_str(), 1);
  std::vector<char*> words;
  for (std::string& word : command)
    words.push_back(word.data());
  words.push_back(nullptr);
  execv(words.front(), words.data());
  _exit(127);
}

void deployment::Signal(std::size_t index, int signal) {
  if (nodes_.at(index).pid > 0)
    kill(nodes_.at(index).pid, signal);
}

bool deployment::HasEnded(std::size_t index) {
  node& asked = nodes_.at(index);
  if (asked.pid <= 0)
    return !asked.ending.empty();
  int status = 0;
  if (waitpid(asked.pid, &status, WNOHANG) != asked.pid)
    return false;
  asked.pid = -1;
  asked.ending = WIFSIGNALED(status)
                     ? "by signal " + std::to_string(WTERMSIG(status))
                     : "with code " + std::to_string(WEXITSTATUS(status));
  return true;
}

void deployment::KillNode(std::size_t index) {
  node& ended = nodes_.at(index);
  if (ended.pid <= 0)
    return;
  kill(ended.pid, SIGKILL);
  waitpid(ended.pid, nullptr, 0);
  ended.pid = -1;
}

bool deployment::IsReady(std::size_t index) {
  runtime::http_connection connection(loop_);
  try {
    connection.Connect(nodes_.at(index).ready, milliseconds(500));
    auto request = runtime::MakeRequest("GET", "/-/ready", "front");
    connection.Send(request, milliseconds(500));
    return connection.ReadHead(milliseconds(500)).status == 200;
  } catch (const runtime::transport_error&) {
    return false;
  }
}

bool deployment::WaitUntilReady(milliseconds timeout) {
  const auto end = std::chrono::steady_clock::now() + timeout;
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    while (!IsReady(i)) {
      if (std::chrono::steady_clock::now() >= end)
        return false;
      Sleep(milliseconds(20));
    }
  }
  return true;
}

void deployment::Configure(std::uint64_t version, bool with_extra_route) {
  json::array routes{Route("/lock/", "unsafe", 1), Route("/check/", "safe", 2)};
  if (with_extra_route)
    routes.push_back(Route("/extra/", "safe", 2));
  store_.Put(
      "config", "main",
      json::serialize(json::object{
          {"version", version},
          {"routes", std::move(routes)},
          {"services", json::array{json::object{{"name", "room-ops"},
                                                {"health_path", "/health"},
                                                {"max_connections", 208}}}},
          {"limits",
           {{"max_header_bytes", 16384},
            {"max_body_bytes", 4194304},
            {"header_timeout_ms", 2000},
            {"idle_timeout_ms", 15000}}},
          {"tenants",
           json::array{json::object{{"name", "t1"},
                                    {"api_keys", json::array{"key-1"}}}}}}));
}

caller_answer deployment::Call(std::size_t node,
                               const std::string& method,
                               const std::string& path,
                               const std::string& id,
                               const runtime::http_fields& more,
                               milliseconds deadline) {
  caller_answer answer;
  runtime::http_connection connection(loop_);
  auto request = MakeCall(method, path, id, deadline);
  for (const auto& [name, value] : more)
    request.set(name, value);
  try {
    connection.Connect(nodes_.at(node).caller, milliseconds(1000));
    connection.Send(request, deadline);
    const auto head = connection.ReadHead(deadline);
    answer.status = head.status;
    answer.type = head.content_type;
    while (connection.ReadSome(answer.body, deadline)) {
    }
    answer.complete = true;
  } catch (const runtime::transport_error&) {
    // What came before is the answer; it isn't complete.
  }
  return answer;
}

std::vector<caller_answer> deployment::CallMany(std::size_t count,
                                                const std::string& prefix,
                                                const std::string& method,
                                                const std::string& path,
                                                milliseconds gap) {
  const auto answers = std::make_shared<std::vector<caller_answer>>(count);
  const auto done = std::make_shared<std::size_t>(0);
  for (std::size_t i = 0; i < count; ++i) {
    runtime::SpawnFiber([=, this] {
      (*answers)[i] = Call(i % nodes_.size(), method, path + std::to_string(i),
                           prefix + std::to_string(i));
      ++*done;
    });
    Sleep(gap);
  }
  while (*done < count)
    Sleep(milliseconds(5));
  for (std::size_t i = 0; i < count; ++i) {
    const caller_answer& answer = (*answers)[i];
    Record("answer " + prefix + std::to_string(i) + " " +
           nodes_[i % nodes_.size()].name + " " +
           std::to_string(answer.status) +
           (answer.complete ? " " : " incomplete ") + answer.body);
  }
  return *answers;
}

void deployment::CallOnKeptChannel(std::size_t node,
                                   const std::string& prefix,
                                   const std::string& method,
                                   const std::string& path,
                                   milliseconds shortest,
                                   milliseconds longest,
                                   steady_time end,
                                   std::vector<kept_call>& sent) {
  constexpr milliseconds kDeadline{1500};
  constexpr int kFirstFinal = 200;
  std::unique_ptr<runtime::http_connection> channel;
  int answered = 0;
  for (int number = 0; std::chrono::steady_clock::now() < end; ++number) {
    kept_call call;
    call.id = prefix + std::to_string(number);
    call.node = node;
    try {
      if (!channel) {
        channel = std::make_unique<runtime::http_connection>(loop_);
        channel->Connect(nodes_.at(node).caller, milliseconds(1000));
        answered = 0;
      }
      call.before_on_channel = answered;
      auto request = MakeCall(method, path, call.id, kDeadline);
      call.sent_at = std::chrono::steady_clock::now();
      channel->Send(request, kDeadline);
      call.sent = true;
      auto head = channel->ReadHead(kDeadline);
      // An interim response isn't the answer.
      while (head.status < kFirstFinal) {
        channel->ExpectAnother();
        head = channel->ReadHead(kDeadline);
      }
      call.answer.status = head.status;
      while (channel->ReadSome(call.answer.body, kDeadline)) {
      }
      call.answer.complete = true;
      ++answered;
      if (!channel->reusable())
        channel.reset();
    } catch (const runtime::transport_error&) {
      channel.reset();
    }
    call.ended_at = std::chrono::steady_clock::now();
    Record("request " + call.id + " " + nodes_.at(node).name + " " +
           (call.answer.complete ? std::to_string(call.answer.status)
            : call.sent          ? "closed without an answer"
                                 : "not sent"));
    sent.push_back(std::move(call));
    Sleep(milliseconds(std::uniform_int_distribution<std::int64_t>(
        shortest.count(), longest.count())(random_)));
  }
}

void deployment::Record(const std::string& line) {
  const auto passed = std::chrono::duration_cast<milliseconds>(
      std::chrono::steady_clock::now() - began_);
  std::array<char, 32> time{};
  std::snprintf(time.data(), time.size(), "%8.3f  ",
                static_cast<double>(passed.count()) / 1000);
  record_ << time.data() << line << std::endl;
}

int RunCase(const std::function<int(deployment&)>& body) {
  std::signal(SIGPIPE, SIG_IGN);
  // The callers of a case share this process.
  rlimit files{};
  getrlimit(RLIMIT_NOFILE, &files);
  files.rlim_cur = std::min<rlim_t>(files.rlim_max, kMaxFiles);
  setrlimit(RLIMIT_NOFILE, &files);
  boost::asio::io_context loop(1);
  int result = kCouldNotRun;
  runtime::RunFibers(loop, [&] {
    try {
      deployment all(loop);
      result = body(all);
      all.Record("exit code " + std::to_string(result));
    } catch (const std::exception& error) {
      std::cerr << error.what() << '\n';
    }
    // The fibers of the stand-ins never end.
    std::fflush(nullptr);
    std::_Exit(result);
  });
  return result;
}

}  // namespace flamingoshunt::review
