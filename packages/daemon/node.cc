#include "daemon/node.h"

#include <thread>
#include <utility>

#include "daemon/platform_http.h"
#include "telemetry/log.h"

namespace flamingoshunt::daemon {
namespace {

// How long the balancer may go on sending after readiness turned off.
constexpr auto kReadinessNotice = std::chrono::milliseconds(500);
// Peers find out by themselves that a node is gone; its leave is a courtesy.
constexpr auto kLeaveBound = std::chrono::seconds(2);
constexpr auto kIdleCheck = std::chrono::milliseconds(20);

store::client_options ClientOptions(const settings::platform_access& access) {
  store::client_options options;
  options.calls_per_second = access.calls_per_second;
  options.burst = access.burst;
  options.backoff_low = access.backoff_low;
  options.backoff_high = access.backoff_high;
  return options;
}

std::vector<std::string> Texts(
    const std::vector<settings::ip_endpoint>& addresses) {
  std::vector<std::string> texts;
  for (const auto& address : addresses)
    texts.push_back(address.Text());
  return texts;
}

port_factory HttpPort(const settings::daemon_settings& settings) {
  return [addresses = Texts(settings.platform.addresses),
          timeout = settings.timeouts.connect](boost::asio::io_context& loop,
                                               store::port_receiver deliver) {
    return std::make_unique<platform_http>(loop, addresses, timeout,
                                           std::move(deliver));
  };
}

replica::settings ReplicaSettings(const settings::freshness_bounds& bounds) {
  return replica::settings_builder().WithFreshness(bounds.report).Build();
}

std::string UniquePrefix(const settings::identity& self, std::uint64_t seed) {
  return self.node.str() + "." + std::to_string(seed);
}

// Rises from start to start of one node, which peers rely on.
std::uint64_t IncarnationNow(const base::clock& clock) {
  const auto since_epoch = clock.WallNow().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch)
          .count());
}

admission::controller MakeAdmission(const settings::daemon_settings& all,
                                    std::uint64_t incarnation,
                                    std::uint64_t seed) {
  routing::location location;
  location.node = all.self.node;
  location.region = all.self.region;
  location.failure_domain = all.self.failure_domain;
  return admission::controller_builder()
      .Self(location)
      .Incarnation(incarnation)
      .ProvisionalNodes(static_cast<std::size_t>(all.peers.largest_fleet))
      .Seed(seed)
      .Build();
}

membership_options MembershipOptions(const settings::daemon_settings& all,
                                     std::uint64_t incarnation,
                                     std::uint64_t seed) {
  membership_options options;
  options.node = all.self.node;
  options.region = all.self.region;
  options.failure_domain = all.self.failure_domain;
  options.listen = all.listen.peer.Text();
  options.cluster_key = all.peers.cluster_key;
  options.incarnation = incarnation;
  options.timing.probe_period_step = all.peers.probe_step;
  options.timing.suspicion_step = all.peers.suspicion_step;
  options.seed = seed;
  return options;
}

delivery::settings DeliverySettings(const settings::timeout_bounds& bounds) {
  delivery::settings settings;
  settings.silence.head = bounds.answer_head;
  settings.silence.first_token = bounds.first_token;
  settings.silence.between_tokens = bounds.between_tokens;
  return settings;
}

io_thread_options IoOptions(const settings::daemon_settings& settings,
                            int index,
                            std::string address,
                            std::uint64_t seed) {
  io_thread_options options;
  options.index = index;
  options.address = std::move(address);
  options.server.max_header_bytes = settings.sizes.headers;
  options.server.max_body_bytes = settings.sizes.body;
  options.server.max_connections = settings.sizes.connections;
  options.server.idle_timeout = settings.timeouts.caller_idle;
  options.server.share_port = true;
  options.delivery = DeliverySettings(settings.timeouts);
  options.attempts.connect_timeout = settings.timeouts.connect;
  options.max_requests = settings.sizes.requests;
  options.max_answer_bytes = settings.sizes.answer;
  options.unique_prefix = settings.self.node.str() + "." + std::to_string(seed);
  options.seed = seed + static_cast<std::uint64_t>(index) + 1;
  return options;
}

}  // namespace

node::node(const settings::daemon_settings& settings,
           const base::clock& clock,
           std::uint64_t seed)
    : settings_(settings),
      clock_(clock),
      incarnation_(IncarnationNow(clock)),
      spans_(settings.telemetry.span_ring),
      request_metrics_(metrics_),
      platform_(ClientOptions(settings.platform),
                HttpPort(settings),
                clock,
                seed),
      membership_(MembershipOptions(settings, incarnation_, seed), clock),
      catalogue_({settings.self.node, settings.freshness.catalogue}, clock),
      replicas_(ReplicaSettings(settings.freshness),
                settings.self.node,
                metrics_,
                clock,
                seed),
      dispatch_(MakeAdmission(settings, incarnation_, seed), metrics_, clock),
      housekeeping_({settings.self.node, incarnation_},
                    UniquePrefix(settings.self, seed) + ".housekeeping",
                    clock),
      admin_(settings.self.node,
             settings.listen.admin.Text(),
             settings.telemetry.otlp_address,
             metrics_,
             spans_) {
  std::string address = settings.listen.caller.Text();
  for (int index = 0; index < settings.threads.caller_io; ++index) {
    io_.push_back(
        std::make_unique<io_thread>(IoOptions(settings, index, address, seed),
                                    clock_, request_metrics_, spans_));
    address = io_.front()->address();  // The others share its port.
  }
  Wire();
}

void node::Wire() {
  replicas_.ConnectPlatform(platform_.Link(
      replicas_.platform(), {"instance", "allocation", "drain"}));
  catalogue_.ConnectPlatform(
      platform_.Link(catalogue_.platform(), {"entry", "workspace"}));
  housekeeping_.ConnectPlatform(
      platform_.Link(housekeeping_.platform(), {admission::kRosterKind}));
  housekeeping_.ConnectPeers(membership_.Link(housekeeping_.peers()));
  housekeeping_.ConnectDispatch(dispatch_.rosters());
  membership_.ConnectPlatform(platform_.Link(membership_.platform(), {}));
  catalogue_.ConnectPeers(membership_.Link(catalogue_.peers()));
  dispatch_.ConnectPeers(membership_.Link(dispatch_.peers()));
  replicas_.ConnectPeers(membership_.Link(replicas_.peers()));
  dispatch_.ConnectReplicas(replicas_.failures());
  replicas_.ConnectDispatch(dispatch_.replicas());
  catalogue_.AddReader(dispatch_.catalogues());
  catalogue_.AddReader(replicas_.catalogues());
  for (const auto& io : io_) {
    io->ConnectDispatch(dispatch_.Link(io->answers()));
    io->ConnectPlatform(platform_.Link(io->platform_replies()));
    catalogue_.AddReader(io->catalogues());
  }
  admin_.AddDuty("catalogue", catalogue_.loop(), [this](const auto& query) {
    return catalogue_.Answer(query);
  });
  admin_.AddDuty("membership", membership_.loop(), [this](const auto& query) {
    return membership_.Answer(query);
  });
  admin_.AddDuty("replica", replicas_.loop(),
                 [this](const auto& query) { return replicas_.Answer(query); });
  admin_.AddDuty(
      "housekeeping", housekeeping_.loop(),
      [this](const auto& query) { return housekeeping_.Answer(query); });
  admin_.AddDuty("dispatch", dispatch_.loop(),
                 [this](const auto& query) { return dispatch_.Answer(query); });
}

void node::Start() {
  platform_.Start();
  membership_.Start();
  catalogue_.Start();
  replicas_.Start();
  dispatch_.Start();
  housekeeping_.Start();
  for (const auto& io : io_)
    io->Start(ready_);
  admin_.Start(ready_);
  ready_.store(true);
  telemetry::LogChange(
      "node", "started",
      {{"caller", caller_address()}, {"admin", admin_address()}});
}

bool node::AllIdle() const {
  for (const auto& io : io_) {
    if (!io->idle())
      return false;
  }
  return true;
}

bool node::StopGracefully() {
  ready_.store(false);
  telemetry::LogChange("node", "stopping");
  std::this_thread::sleep_for(kReadinessNotice);
  for (const auto& io : io_)
    io->BeginStop();
  const base::time_point give_up = clock_.Now() + settings_.timeouts.drain;
  while (!AllIdle() && clock_.Now() < give_up)
    std::this_thread::sleep_for(kIdleCheck);
  const bool complete = AllIdle();
  membership_.BeginLeave();
  const base::time_point leave_by = clock_.Now() + kLeaveBound;
  while (!membership_.left() && clock_.Now() < leave_by)
    std::this_thread::sleep_for(kIdleCheck);
  telemetry::LogChange("node", "stopped", {{"complete", complete}});
  return complete;
}

}  // namespace flamingoshunt::daemon
