#include "settings/settings.h"

#include <boost/asio/ip/address.hpp>

#include <charconv>
#include <set>
#include <utility>

namespace flamingoshunt::settings {
namespace {

using base::json_problems;
using base::object_reader;
using std::chrono::milliseconds;

constexpr std::size_t kMinClusterKey = 16;   // characters
constexpr std::size_t kMaxClusterKey = 256;  // characters
constexpr std::size_t kMaxIdLength = 63;     // characters
constexpr double kMaxCallRate = 2000;        // platform calls a second
constexpr milliseconds kShortest{1};
constexpr milliseconds kLongest{24 * 60 * 60 * 1000};
constexpr milliseconds kFreshnessLow{500};
constexpr milliseconds kFreshnessHigh{10000};
constexpr std::int64_t kKiB = 1024;     // bytes
constexpr std::int64_t kGiB = 1 << 30;  // bytes
constexpr int kMaxThreads = 64;
constexpr std::int64_t kMaxFleet = 4096;  // nodes
constexpr std::int64_t kMaxConnections = 65536;
constexpr std::int64_t kMaxRequests = 262144;
constexpr double kMaxRetryRatio = 10;
constexpr double kMaxRetrySlack = 1e9;
constexpr double kMaxCores = 1024;
constexpr double kMinLinkMbps = 0.1;
constexpr double kMaxLinkMbps = 1e6;
constexpr std::int64_t kMinMemory = 32;  // MiB
constexpr std::int64_t kMaxMemory = 1 << 20;
constexpr std::int64_t kMinDescriptors = 256;
constexpr std::int64_t kMaxDescriptors = 1 << 20;
constexpr double kShortestWindowSeconds = 0.1;
constexpr double kLongestWindowSeconds = 3600;
constexpr std::int64_t kMaxSpans = 1 << 20;

constexpr const char* kAddressRule =
    "must be IP:port as in \"10.0.0.1:8080\" or \"[::1]:8080\"; host names are "
    "not resolved";

// Reads one section: an object below the document, or defaults when it is
// missing and optional.
template <class Section>
Section ReadSection(object_reader& whole,
                    std::string_view key,
                    bool required,
                    json_problems& problems,
                    void (*read)(object_reader&, json_problems&, Section&)) {
  Section section;
  const boost::json::value* json = whole.Child(key, required);
  if (!json)
    return section;
  object_reader reader(*json, std::string(key), problems);
  read(reader, problems, section);
  reader.Finish();
  return section;
}

std::string ReadId(object_reader& reader, std::string_view key) {
  std::string text = reader.String(key);
  const bool good =
      text.size() <= kMaxIdLength &&
      text.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789-.") ==
          std::string::npos;
  if (!good)
    reader.Report(key, "must be 1 to 63 of a-z, 0-9, '-' and '.'");
  return text;
}

void ReadIdentity(object_reader& reader, json_problems&, identity& self) {
  self.node = base::node_id(ReadId(reader, "id"));
  self.region = base::region_id(ReadId(reader, "region"));
  self.failure_domain =
      base::failure_domain_id(ReadId(reader, "failure_domain"));
}

ip_endpoint ReadAddress(object_reader& reader, std::string_view key) {
  const std::string text = reader.String(key);
  const auto parsed = ParseIpEndpoint(text, port_rule::kGivenOrAny);
  if (parsed)
    return *parsed;
  if (!text.empty())
    reader.Report(key, kAddressRule);
  return {};
}

void ReadListen(object_reader& reader,
                json_problems&,
                listen_addresses& listen) {
  listen.caller = ReadAddress(reader, "caller");
  listen.peer = ReadAddress(reader, "peer");
  listen.admin = ReadAddress(reader, "admin");
  std::set<std::string> seen;
  for (const auto& [key, address] :
       {std::pair("caller", listen.caller), std::pair("peer", listen.peer),
        std::pair("admin", listen.admin)}) {
    const bool shared =
        address.port != 0 && !seen.insert(address.Text()).second;
    if (shared)
      reader.Report(key, "must differ from the other listen addresses");
  }
}

void ReadPlatform(object_reader& reader,
                  json_problems& problems,
                  platform_access& platform) {
  const std::vector<std::string> texts = reader.Strings("addresses", true);
  for (std::size_t i = 0; i < texts.size(); ++i) {
    if (const auto parsed = ParseIpEndpoint(texts[i]))
      platform.addresses.push_back(*parsed);
    else
      problems.push_back({"platform.addresses[" + std::to_string(i) + "]",
                          '"' + texts[i] + '"', kAddressRule});
  }
  if (reader.Has("addresses") && texts.empty())
    reader.Report("addresses", "must name at least one address");
  platform.calls_per_second = reader.Number("calls_per_second", 1, kMaxCallRate,
                                            platform.calls_per_second);
  platform.burst = reader.Number("burst", 1, kMaxCallRate, platform.burst);
  platform.backoff_low = reader.Milliseconds("backoff_low_ms", kShortest,
                                             kLongest, platform.backoff_low);
  platform.backoff_high = reader.Milliseconds("backoff_high_ms", kShortest,
                                              kLongest, platform.backoff_high);
  if (platform.backoff_high < platform.backoff_low)
    reader.Report("backoff_high_ms", "must not be below backoff_low_ms");
}

void ReadPeers(object_reader& reader,
               json_problems& problems,
               peer_access& peers) {
  peers.cluster_key = reader.String("cluster_key");
  const std::size_t length = peers.cluster_key.size();
  // The value is a secret, so it isn't printed.
  if (length != 0 && (length < kMinClusterKey || length > kMaxClusterKey))
    problems.push_back({"peers.cluster_key",
                        "(hidden, " + std::to_string(length) + " characters)",
                        "must have 16 to 256 characters"});
  peers.largest_fleet = static_cast<int>(
      reader.Integer("largest_fleet", 1, kMaxFleet, peers.largest_fleet));
  peers.probe_step = reader.Milliseconds("probe_step_ms", kShortest, kLongest,
                                         peers.probe_step);
  peers.suspicion_step = reader.Milliseconds("suspicion_step_ms", kShortest,
                                             kLongest, peers.suspicion_step);
  if (peers.suspicion_step <= peers.probe_step)
    reader.Report("suspicion_step_ms", "must be above probe_step_ms");
}

void ReadThreads(object_reader& reader, json_problems&, thread_counts& counts) {
  counts.caller_io = static_cast<int>(
      reader.Integer("caller_io", 1, kMaxThreads, counts.caller_io));
}

std::size_t ReadSize(object_reader& reader,
                     std::string_view key,
                     std::int64_t low,
                     std::int64_t high,
                     std::size_t fallback) {
  return static_cast<std::size_t>(
      reader.Integer(key, low, high, static_cast<std::int64_t>(fallback)));
}

void ReadSizes(object_reader& reader, json_problems&, size_bounds& sizes) {
  sizes.body = ReadSize(reader, "body_bytes", kKiB, kGiB, sizes.body);
  sizes.headers =
      ReadSize(reader, "headers_bytes", kKiB, kKiB * kKiB, sizes.headers);
  sizes.answer = ReadSize(reader, "answer_bytes", kKiB, kGiB, sizes.answer);
  sizes.connections =
      ReadSize(reader, "connections", 1, kMaxConnections, sizes.connections);
  sizes.requests =
      ReadSize(reader, "requests", 1, kMaxRequests, sizes.requests);
}

void ReadTimeouts(object_reader& reader,
                  json_problems&,
                  timeout_bounds& bounds) {
  const auto read = [&](std::string_view key, milliseconds& value) {
    value = reader.Milliseconds(key, kShortest, kLongest, value);
  };
  read("caller_idle_ms", bounds.caller_idle);
  read("connect_ms", bounds.connect);
  read("answer_head_ms", bounds.answer_head);
  read("first_token_ms", bounds.first_token);
  read("between_tokens_ms", bounds.between_tokens);
  read("drain_ms", bounds.drain);
}

void ReadFreshness(object_reader& reader,
                   json_problems&,
                   freshness_bounds& bounds) {
  bounds.catalogue = reader.Milliseconds("catalogue_ms", kFreshnessLow,
                                         kFreshnessHigh, bounds.catalogue);
  bounds.report = reader.Milliseconds("report_ms", kFreshnessLow,
                                      kFreshnessHigh, bounds.report);
}

void ReadTelemetry(object_reader& reader,
                   json_problems&,
                   telemetry_settings& telemetry) {
  telemetry.level = static_cast<log_level>(
      reader.Choice("log_level", {"debug", "info", "warning", "error"},
                    static_cast<std::size_t>(telemetry.level)));
  telemetry.otlp_address = reader.String("otlp_address", "");
  if (!telemetry.otlp_address.empty() &&
      !ParseIpEndpoint(telemetry.otlp_address))
    reader.Report("otlp_address", kAddressRule);
  telemetry.span_ring =
      ReadSize(reader, "span_ring", 0, kMaxSpans, telemetry.span_ring);
}

void ReadGateway(object_reader& reader,
                 json_problems&,
                 gateway_settings& gateway) {
  gateway.ready = ReadAddress(reader, "ready");
  if (reader.Has("passed_requests"))
    gateway.passed_requests = ReadAddress(reader, "passed_requests");
  gateway.retry_ratio =
      reader.Number("retry_ratio", 0, kMaxRetryRatio, gateway.retry_ratio);
  gateway.retry_slack =
      reader.Number("retry_slack", 0, kMaxRetrySlack, gateway.retry_slack);
  const double window_s = reader.Number(
      "retry_window_s", kShortestWindowSeconds, kLongestWindowSeconds,
      std::chrono::duration<double>(gateway.retry_window).count());
  gateway.retry_window = std::chrono::duration_cast<milliseconds>(
      std::chrono::duration<double>(window_s));
  const double grace_s =
      reader.Number("grace_s", 0, kLongestWindowSeconds,
                    std::chrono::duration<double>(gateway.grace).count());
  gateway.grace = std::chrono::duration_cast<milliseconds>(
      std::chrono::duration<double>(grace_s));
  gateway.cores = reader.Number("cores", 0, kMaxCores, gateway.cores);
  gateway.link_mbps =
      reader.Number("link_mbps", kMinLinkMbps, kMaxLinkMbps, gateway.link_mbps);
  if (reader.Has("memory_mb"))
    gateway.memory_mb =
        ReadSize(reader, "memory_mb", kMinMemory, kMaxMemory, 0);
  if (reader.Has("max_fds"))
    gateway.max_fds =
        ReadSize(reader, "max_fds", kMinDescriptors, kMaxDescriptors, 0);
  gateway.replica_heartbeat = reader.Milliseconds(
      "replica_heartbeat_ms", kShortest, kLongest, gateway.replica_heartbeat);
  gateway.replica_drain = reader.Milliseconds("replica_drain_ms", kShortest,
                                              kLongest, gateway.replica_drain);
  if (reader.Has("evacuate_ms"))
    gateway.evacuate =
        reader.Milliseconds("evacuate_ms", kShortest, kLongest, kShortest);
  gateway.first_start = reader.Boolean("first_start", gateway.first_start);
  gateway.order = static_cast<queue_order>(
      reader.Choice("queue_order", {"deadline", "benefit"},
                    static_cast<std::size_t>(gateway.order)));
  gateway.send_priority =
      reader.Boolean("send_priority", gateway.send_priority);
  gateway.learn_costs = reader.Boolean("learn_costs", gateway.learn_costs);
  gateway.groups_follow_demand =
      reader.Boolean("groups_follow_demand", gateway.groups_follow_demand);
}

}  // namespace

std::string ip_endpoint::Text() const {
  const bool v6 = ip.find(':') != std::string::npos;
  return (v6 ? "[" + ip + "]" : ip) + ":" + std::to_string(port);
}

std::optional<ip_endpoint> ParseIpEndpoint(std::string_view text,
                                           port_rule rule) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos)
    return std::nullopt;
  std::string_view host = text.substr(0, colon);
  const std::string_view digits = text.substr(colon + 1);
  const bool bracketed =
      host.size() > 2 && host.front() == '[' && host.back() == ']';
  if (bracketed)
    host = host.substr(1, host.size() - 2);
  std::uint16_t port = 0;
  const auto* end = digits.data() + digits.size();
  const auto parsed = std::from_chars(digits.data(), end, port);
  if (digits.empty() || parsed.ec != std::errc() || parsed.ptr != end)
    return std::nullopt;
  boost::system::error_code error;
  const auto address = boost::asio::ip::make_address(std::string(host), error);
  const bool no_port = port == 0 && rule == port_rule::kGiven;
  if (error || no_port || address.is_v6() != bracketed)
    return std::nullopt;
  return ip_endpoint{address.to_string(), port};
}

daemon_settings ReadSettings(std::string_view text) {
  json_problems problems;
  daemon_settings all;
  if (const auto json = base::ParseJson(text, problems)) {
    object_reader whole(*json, "", problems);
    all.self = ReadSection(whole, "node", true, problems, &ReadIdentity);
    all.listen = ReadSection(whole, "listen", true, problems, &ReadListen);
    all.platform =
        ReadSection(whole, "platform", true, problems, &ReadPlatform);
    const bool gateway = whole.Has("gateway");
    // Gateways tell each other nothing that needs the key.
    all.peers = ReadSection(whole, "peers", !gateway, problems, &ReadPeers);
    if (gateway)
      all.gateway = ReadSection(whole, "gateway", true, problems, &ReadGateway);
    all.threads = ReadSection(whole, "threads", false, problems, &ReadThreads);
    all.sizes = ReadSection(whole, "sizes", false, problems, &ReadSizes);
    all.timeouts =
        ReadSection(whole, "timeouts", false, problems, &ReadTimeouts);
    all.freshness =
        ReadSection(whole, "freshness", false, problems, &ReadFreshness);
    all.telemetry =
        ReadSection(whole, "telemetry", false, problems, &ReadTelemetry);
    whole.Finish();
  }
  if (!problems.empty())
    throw base::json_document_error(std::move(problems));
  return all;
}

}  // namespace flamingoshunt::settings
