#include "daemon/gateway_node.h"

#include <algorithm>
#include <chrono>
#include <thread>

#include "telemetry/log.h"

namespace flamingoshunt::daemon {
namespace {

using std::chrono::milliseconds;

// The balancer asks once a second and takes a node out after two misses; until
// then it sends new callers.
constexpr milliseconds kBalancerNotice{2400};
// The end must come before the kill.
constexpr milliseconds kBeforeKill{350};
constexpr milliseconds kIdleCheck{20};
constexpr std::size_t kMaxCallerConnections = 2000;

// Parts of the instance's memory. The rest is for the process itself: the view
// of the fleet, connections to replicas and peers, the allocator's slack.
constexpr double kCallerMemory = 0.5;
constexpr double kInternalMemory = 0.12;
// Of max_fds the platform keeps these for files; the store, the peers and the
// admin port need some, and a request that is served needs one to its replica.
constexpr std::size_t kFileDescriptors = 200;
constexpr double kCallerDescriptors = 0.45;
constexpr double kInternalDescriptors = 0.1;
// Of each connection, in each direction, where the memory is bounded: large
// bodies still come at several MB a second from another region.
constexpr std::size_t kSocketBufferBytes = 32 * 1024;

store::client_options ClientOptions(const settings::daemon_settings& settings) {
  const settings::platform_access& access = settings.platform;
  store::client_options options;
  options.calls_per_second = access.calls_per_second;
  options.burst = access.burst;
  options.backoff_low = access.backoff_low;
  options.backoff_high = access.backoff_high;
  // A poll is held for up to 20 s; silent connections are found by the
  // kernel's probes long before.
  options.watch_silence = std::chrono::seconds(25);
  options.lapse_outage = fleet::replica_directory::ShortestLapse(
      settings.gateway->replica_heartbeat);
  return options;
}

gateway::dispatcher_options DispatcherOptions(
    const settings::gateway_settings& settings) {
  gateway::dispatcher_options options;
  options.order = settings.order == settings::queue_order::kBenefit
                      ? gateway::queue_order::kBenefit
                      : gateway::queue_order::kDeadline;
  options.learn_costs = settings.learn_costs;
  options.send_priority = settings.send_priority;
  return options;
}

std::size_t Part(double part, std::size_t whole) {
  return static_cast<std::size_t>(part * static_cast<double>(whole));
}

void BoundCallers(const settings::gateway_settings& gateway,
                  entry_duty_options& options) {
  options.caller_bounds.connections = kMaxCallerConnections;
  if (gateway.memory_mb) {
    const std::size_t memory = *gateway.memory_mb << 20;
    options.caller_bounds.bytes = Part(kCallerMemory, memory);
    options.internal_bounds.bytes = Part(kInternalMemory, memory);
    options.server.socket_buffer_bytes = kSocketBufferBytes;
  }
  if (gateway.max_fds) {
    const std::size_t sockets =
        *gateway.max_fds - std::min(*gateway.max_fds, kFileDescriptors);
    options.caller_bounds.connections =
        std::min(kMaxCallerConnections, Part(kCallerDescriptors, sockets));
    options.internal_bounds.connections = Part(kInternalDescriptors, sockets);
  }
}

entry_duty_options EntryOptions(const settings::daemon_settings& settings,
                                std::uint64_t seed) {
  entry_duty_options options;
  options.caller_address = settings.listen.caller.Text();
  options.ready_address = settings.gateway->ready.Text();
  if (settings.gateway->passed_requests)
    options.passed_address = settings.gateway->passed_requests->Text();
  options.server.max_header_bytes = settings.sizes.headers;
  options.server.max_body_bytes = settings.sizes.body;
  options.server.idle_timeout = settings.timeouts.caller_idle;
  options.dispatcher = DispatcherOptions(*settings.gateway);
  BoundCallers(*settings.gateway, options);
  options.seed = seed;
  return options;
}

std::uint64_t IncarnationNow(const base::clock& clock) {
  return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(
                                        clock.WallNow().time_since_epoch())
                                        .count());
}

}  // namespace

gateway_node::gateway_node(const settings::daemon_settings& settings,
                           const fleet::deployment& deployment,
                           const gateway::protocol& protocol,
                           const port_factory& make_port,
                           const base::clock& clock,
                           std::uint64_t seed)
    : settings_(settings),
      clock_(clock),
      spans_(settings.telemetry.span_ring),
      metrics_(registry_),
      platform_(ClientOptions(settings), make_port, clock, seed),
      fleet_(settings, deployment, clock, registry_, IncarnationNow(clock)),
      entry_(EntryOptions(settings, seed), clock, protocol, metrics_),
      admin_(settings.self.node,
             settings.listen.admin.Text(),
             settings.telemetry.otlp_address,
             registry_,
             spans_) {
  fleet_.ConnectPlatform(
      platform_.Link(fleet_.platform(), fleet_.WatchedKinds()), platform_);
  fleet_.ConnectEntry(entry_.updates());
  entry_.ConnectFleet(fleet_.news());
  fleet_.SetAdminAddress(admin_.address());
  fleet_.SetPassedAddress(entry_.passed_address());
  admin_.AddDuty(
      admin_duty::kFleetSection, fleet_.loop(),
      [this](const status_query& query) { return fleet_.Answer(query); });
  admin_.AddDuty(
      admin_duty::kEntrySection, entry_.loop(),
      [this](const status_query& query) { return entry_.Answer(query); });
}

void gateway_node::Start() {
  telemetry::LogChange("node", "started",
                       {{"caller", caller_address()},
                        {"ready", ready_address()},
                        {"admin", admin_.address()}});
  platform_.Start();
  fleet_.Start();
  entry_.Start();
  admin_.Start(ready_);
  ready_.store(true);
}

bool gateway_node::StopGracefully() {
  const auto began = clock_.Now();
  telemetry::LogChange("node", "stopping");
  ready_.store(false);
  entry_.BeginStop();
  fleet_.BeginStop();
  std::this_thread::sleep_for(kBalancerNotice);
  entry_.StopAccepting();
  const auto give_up = began + settings_.gateway->grace - kBeforeKill;
  bool complete = false;
  entry_.idle();
  while (!complete && clock_.Now() < give_up) {
    std::this_thread::sleep_for(kIdleCheck);
    complete = entry_.idle();
  }
  telemetry::LogChange("node", "stopped", {{"complete", complete}});
  return complete;
}

}  // namespace flamingoshunt::daemon
