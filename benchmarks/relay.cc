// Measures what one entry node adds to a streamed request: the latency of the
// first token and of the whole answer against a direct connection to the same
// stand-in in the same run, and the processor time of the node's I/O thread for
// each streamed chunk.
//
//   benchmark_relay [streams] [tokens]
//
// Links: cluster endpoint runtime daemon
#include <boost/fiber/operations.hpp>

#include <dirent.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include "endpoint/http_codec.h"
#include "runtime/fiber_scheduler.h"
#include "runtime/http_client.h"
#include "tests/cluster/local_cluster.h"

namespace flamingoshunt {
namespace {

constexpr auto kTimeout = std::chrono::seconds(60);
constexpr int kRounds = 5;
constexpr auto kTokenDelay = std::chrono::milliseconds(20);

struct sample {
  double first_token_ms = 0;
  double whole_ms = 0;
  std::size_t bytes = 0;
  bool complete = false;
};

double Milliseconds(std::chrono::steady_clock::duration length) {
  return std::chrono::duration<double, std::milli>(length).count();
}

double Quantile(std::vector<double> values, double fraction) {
  std::sort(values.begin(), values.end());
  const auto last = static_cast<double>(values.size() - 1);
  return values[static_cast<std::size_t>(last * fraction)];
}

// Processor time of this process's threads whose name begins with @p prefix.
double ThreadSeconds(const std::string& prefix) {
  double ticks = 0;
  DIR* tasks = opendir("/proc/self/task");
  while (const dirent* task = readdir(tasks)) {
    std::ifstream stat(std::string("/proc/self/task/") + task->d_name +
                       "/stat");
    std::string line;
    if (!std::getline(stat, line))
      continue;
    const auto open = line.find('(');
    const auto close = line.rfind(')');
    if (line.compare(open + 1, prefix.size(), prefix) != 0)
      continue;
    // utime and stime are the 12th and 13th fields after the name.
    std::istringstream fields(line.substr(close + 2));
    std::string skipped;
    for (int i = 0; i < 11; ++i)
      fields >> skipped;
    double user = 0;
    double system = 0;
    fields >> user >> system;
    ticks += user + system;
  }
  closedir(tasks);
  return ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
}

sample Stream(boost::asio::io_context& loop,
              const std::string& address,
              runtime::http_request request,
              const std::string& end_mark) {
  const auto start = std::chrono::steady_clock::now();
  sample taken;
  runtime::http_connection connection(loop);
  connection.Connect(address, kTimeout);
  connection.Send(request, kTimeout);
  connection.ReadHead(kTimeout);
  std::string body;
  while (connection.ReadSome(body, kTimeout)) {
    if (taken.first_token_ms == 0)
      taken.first_token_ms =
          Milliseconds(std::chrono::steady_clock::now() - start);
  }
  taken.whole_ms = Milliseconds(std::chrono::steady_clock::now() - start);
  taken.bytes = body.size();
  taken.complete = body.find(end_mark) != std::string::npos;
  return taken;
}

std::string Body(int tokens) {
  return std::string("{\"model\":\"") + cluster::kEngine +
         "\",\"prompt\":\"measure\",\"stream\":true,\"max_tokens\":" +
         std::to_string(tokens) + "}";
}

runtime::http_request ViaNode(const std::string& address, int tokens) {
  auto request = runtime::MakeRequest("POST", "/v1/completions", address,
                                      Body(tokens), "application/json");
  request.set("Authorization", std::string("Bearer ") + cluster::kKey);
  return request;
}

runtime::http_request Direct(const boost::json::value& replica, int tokens) {
  endpoint::attempt attempt;
  attempt.request = base::request_id("direct");
  attempt.replica =
      base::replica_id(std::string(replica.at("replica").as_string()));
  attempt.epoch = base::epoch(replica.at("epoch").to_number<std::uint64_t>());
  attempt.address = std::string(replica.at("address").as_string());
  attempt.method = "POST";
  attempt.target = "/v1/completions";
  attempt.content_type = "application/json";
  attempt.body = Body(tokens);
  attempt.stream = true;
  const auto encoded = endpoint::EncodeAttempt(attempt);
  auto request =
      runtime::MakeRequest(encoded.method, encoded.target, attempt.address,
                           encoded.body, encoded.content_type);
  for (const auto& header : encoded.headers)
    request.set(header.name, header.value);
  return request;
}

struct load {
  std::string address;
  runtime::http_request request;
  std::string end_mark;
};

// Runs all streams at once, spread over @p targets, and waits for all.
std::vector<sample> RunStreams(const std::vector<load>& targets, int streams) {
  std::vector<sample> samples;
  cluster::RunInFibers([&](boost::asio::io_context& loop) {
    runtime::fiber_signal all_done;
    for (int i = 0; i < streams; ++i) {
      const load& target =
          targets[static_cast<std::size_t>(i) % targets.size()];
      runtime::SpawnFiber([&] {
        samples.push_back(
            Stream(loop, target.address, target.request, target.end_mark));
        if (samples.size() == static_cast<std::size_t>(streams))
          all_done.Notify();
      });
    }
    all_done.Wait();
  });
  return samples;
}

void Print(const char* name, const std::vector<sample>& samples) {
  std::vector<double> first;
  std::vector<double> whole;
  std::size_t complete = 0;
  for (const sample& each : samples) {
    first.push_back(each.first_token_ms);
    whole.push_back(each.whole_ms);
    complete += each.complete ? 1 : 0;
  }
  std::printf(
      "%-10s %6zu/%zu complete   first token p50 %7.2f p99 %7.2f ms   "
      "whole p50 %8.2f p99 %8.2f ms\n",
      name, complete, samples.size(), Quantile(first, 0.5),
      Quantile(first, 0.99), Quantile(whole, 0.5), Quantile(whole, 0.99));
}

int Run(int streams, int tokens) {
  cluster::cluster_options options;
  options.replicas = 4;
  options.members_per_replica = 2;
  options.instances = 10;
  options.instances_per_fabric = 10;
  options.slots_per_replica = 256;
  options.services = 0;
  options.endpoints.token_delay = kTokenDelay;
  cluster::local_cluster& cluster = cluster::local_cluster::Start(options);

  std::vector<load> direct;
  for (const auto& replica : cluster.Replicas(0))
    direct.push_back({std::string(replica.at("address").as_string()),
                      Direct(replica, tokens), "\"end\""});
  const std::vector<load> via = {{cluster.caller_address(0),
                                  ViaNode(cluster.caller_address(0), tokens),
                                  "[DONE]"}};
  std::vector<sample> direct_samples;
  std::vector<sample> via_samples;
  const double io_before = ThreadSeconds("io-");
  const double dispatch_before = ThreadSeconds("dispatch");
  for (int round = 0; round < kRounds; ++round) {
    for (const sample& each : RunStreams(direct, streams))
      direct_samples.push_back(each);
    for (const sample& each : RunStreams(via, streams))
      via_samples.push_back(each);
  }
  const double io_seconds = ThreadSeconds("io-") - io_before;
  const double dispatch_seconds = ThreadSeconds("dispatch") - dispatch_before;
  const double chunks = static_cast<double>(kRounds) * streams * tokens;
  std::printf("%d streams of %d tokens at once, %d rounds each way\n", streams,
              tokens, kRounds);
  Print("direct", direct_samples);
  Print("via node", via_samples);
  std::printf(
      "I/O thread: %.2f us a chunk, %.0f chunks a second for one core; "
      "dispatch: %.1f us a request\n",
      io_seconds / chunks * 1e6, chunks / io_seconds,
      dispatch_seconds / (kRounds * streams) * 1e6);
  return 0;
}

}  // namespace
}  // namespace flamingoshunt

int main(int argc, char** argv) {
  const int streams = argc > 1 ? std::atoi(argv[1]) : 200;
  const int tokens = argc > 2 ? std::atoi(argv[2]) : 100;
  flamingoshunt::cluster::EndProcess(flamingoshunt::Run(streams, tokens));
}
