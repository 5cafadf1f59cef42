#include "tests/cluster/local_cluster.h"

#include <boost/fiber/operations.hpp>

#include <cstdio>
#include <cstdlib>
#include <future>
#include <stdexcept>
#include <thread>

#include "base/hash.h"
#include "catalogue/stored_item.h"
#include "endpoint/instance_json.h"
#include "runtime/fiber_scheduler.h"
#include "runtime/http_client.h"
#include "store/http_codec.h"

namespace flamingoshunt::cluster {
namespace {

constexpr auto kTimeout = std::chrono::seconds(10);
constexpr auto kStartBound = std::chrono::seconds(60);
constexpr auto kPoll = std::chrono::milliseconds(50);
constexpr char kAnyPort[] = "127.0.0.1:0";

void Create(boost::asio::io_context& loop,
            const std::string& platform,
            const store::object_key& key,
            const std::string& value) {
  store::call call;
  call.op = store::operation::kCreate;
  call.key = key;
  call.value = value;
  const auto encoded = store::EncodeCall(call);
  auto request = runtime::MakeRequest(encoded.method, encoded.target, platform,
                                      encoded.body, "application/json");
  for (const auto& header : encoded.headers)
    request.set(header.name, header.value);
  runtime::connection_pool pool(loop);
  runtime::Fetch(pool, platform, request, kTimeout);
}

settings::ip_endpoint AnyPort() {
  return {"127.0.0.1", 0};
}

catalogue::entry EngineEntry(const cluster_options& options) {
  catalogue::entry entry;
  entry.name = base::entry_name(kEngine);
  entry.owner = "tests";
  entry.kind = catalogue::entry_kind::kEngine;
  entry.model = "model";
  entry.version = "1";
  entry.replicas = options.replicas;
  entry.members_per_replica = options.members_per_replica;
  entry.slots_per_replica = options.slots_per_replica;
  entry.checks_fencing = options.endpoints.instance.checks_fencing;
  return entry;
}

catalogue::entry ServiceEntry(const cluster_options& options) {
  catalogue::entry entry;
  entry.name = base::entry_name(kService);
  entry.owner = "tests";
  entry.kind = catalogue::entry_kind::kService;
  entry.version = "1";
  entry.replicas = options.services;
  entry.slots_per_replica = options.slots_per_replica;
  entry.checks_fencing = options.endpoints.instance.checks_fencing;
  return entry;
}

catalogue::workspace Workspace() {
  catalogue::workspace workspace;
  workspace.id = base::workspace_id("tests");
  workspace.owner = "tests";
  workspace.key_hashes = {base::Sha256Hex(kKey)};
  return workspace;
}

}  // namespace

void RunInFibers(const std::function<void(boost::asio::io_context&)>& body) {
  // Outlives the thread's scheduler, as Boost.Fiber needs it.
  boost::asio::io_context loop(1);
  const auto work = boost::asio::make_work_guard(loop);
  std::exception_ptr failure;
  std::thread thread([&] {
    runtime::RunFibers(loop, [&] {
      try {
        body(loop);
      } catch (...) {
        failure = std::current_exception();
      }
    });
  });
  thread.join();
  if (failure)
    std::rethrow_exception(failure);
}

void EndProcess(int code) {
  std::fflush(nullptr);
  std::_Exit(code);
}

local_cluster& local_cluster::Start(const cluster_options& options) {
  return *new local_cluster(options);
}

local_cluster::local_cluster(const cluster_options& options) {
  StartStandIns(options);
  WriteCatalogue(options);
  StartNodes(options);
  AwaitReplicas(options);
}

void local_cluster::StartStandIns(const cluster_options& options) {
  std::promise<std::string> platform_bound;
  platform_thread_.Start([&](boost::asio::io_context& loop) {
    runtime::RunFibers(loop, [&] {
      static stand_ins::platform_host host(loop, clock_);
      platform_bound.set_value(host.Listen(kAnyPort));
      runtime::fiber_signal forever;
      forever.Wait();
    });
  });
  platform_address_ = platform_bound.get_future().get();

  std::promise<std::string> endpoints_bound;
  endpoint_thread_.Start([&](boost::asio::io_context& loop) {
    runtime::RunFibers(loop, [&] {
      static stand_ins::endpoint_host host(loop, options.endpoints, clock_);
      for (int number = 0; number < options.instances; ++number) {
        endpoint::instance listed;
        listed.id = base::instance_id("i-" + std::to_string(number));
        const std::string fabric =
            std::to_string(number / options.instances_per_fabric);
        listed.failure_domain = base::failure_domain_id("domain-" + fabric);
        listed.fabric_domain = base::fabric_domain_id("fabric-" + fabric);
        listed.region = base::region_id("local");
        listed.address = host.Add(listed.id, kAnyPort);
        Create(loop, platform_address_, {"instance", listed.id.str()},
               endpoint::EncodeInstance(listed));
      }
      endpoints_bound.set_value(host.Control(kAnyPort));
      runtime::fiber_signal forever;
      forever.Wait();
    });
  });
  endpoint_control_ = endpoints_bound.get_future().get();
}

void local_cluster::WriteCatalogue(const cluster_options& options) {
  RunInFibers([&](boost::asio::io_context& loop) {
    const auto write = [&](const catalogue::stored_item& item) {
      Create(loop, platform_address_, item.key, catalogue::EncodeStored(item));
    };
    write(catalogue::Stored(EngineEntry(options), 1, "tests"));
    if (options.services > 0)
      write(catalogue::Stored(ServiceEntry(options), 2, "tests"));
    write(catalogue::Stored(Workspace(), 3, "tests"));
  });
}

void local_cluster::StartNodes(const cluster_options& options) {
  for (int index = 0; index < options.nodes; ++index) {
    settings::daemon_settings all;
    all.self.node = base::node_id("n" + std::to_string(index));
    all.self.region = base::region_id("local");
    all.self.failure_domain = base::failure_domain_id("domain-0");
    all.listen = {AnyPort(), AnyPort(), AnyPort()};
    all.platform.addresses = {*settings::ParseIpEndpoint(platform_address_)};
    all.peers.cluster_key = "cluster-tests-shared-secret";
    all.threads.caller_io = options.io_threads;
    nodes_.push_back(std::make_unique<daemon::node>(
        all, clock_, static_cast<std::uint64_t>(index) + 1));
    nodes_.back()->Start();
  }
}

boost::json::array local_cluster::Replicas(int index) const {
  boost::json::array replicas;
  RunInFibers([&](boost::asio::io_context& loop) {
    runtime::connection_pool pool(loop);
    const std::string address = admin_address(index);
    const auto reply = runtime::Fetch(
        pool, address, runtime::MakeRequest("GET", "/admin/status", address),
        kTimeout);
    const auto status = boost::json::parse(reply.body);
    replicas = status.at("replica").at("replicas").as_array();
  });
  return replicas;
}

void local_cluster::AwaitReplicas(const cluster_options& options) {
  const auto wanted = static_cast<std::size_t>(options.replicas) +
                      static_cast<std::size_t>(options.services);
  const base::time_point give_up = clock_.Now() + kStartBound;
  for (int index = 0; index < options.nodes; ++index) {
    while (Replicas(index).size() < wanted) {
      if (clock_.Now() > give_up)
        throw std::runtime_error("the cluster's replicas do not serve");
      std::this_thread::sleep_for(kPoll);
    }
  }
}

std::string local_cluster::SetFaults(const std::string& address,
                                     const std::string& json) {
  std::string answer;
  RunInFibers([&](boost::asio::io_context& loop) {
    runtime::connection_pool pool(loop);
    answer = runtime::Fetch(pool, address,
                            runtime::MakeRequest("POST", "/faults", address,
                                                 json, "application/json"),
                            kTimeout)
                 .body;
  });
  return answer;
}

}  // namespace flamingoshunt::cluster
