// The endpoint stand-in as a program: plays a number of instances on loopback
// and lists them in the platform.
#include <boost/program_options.hpp>

#include <csignal>
#include <cstdio>
#include <iostream>

#include <boost/asio/signal_set.hpp>

#include "base/errors.h"
#include "endpoint/instance_json.h"
#include "runtime/fiber_scheduler.h"
#include "runtime/http_client.h"
#include "stand_ins/endpoint_host.h"
#include "store/http_codec.h"

namespace flamingoshunt::stand_ins {
namespace {

namespace options = boost::program_options;

struct arguments {
  std::string platform;
  std::string control = "127.0.0.1:0";
  int first_port = 0;
  int instances = 12;
  std::vector<std::string> domains;
  std::string region = "local";
  int instances_per_fabric = 6;
  int load_ms = 300;
  int token_delay_us = 2000;
  bool ignore_fencing = false;
};

std::optional<arguments> Parse(int argc, char** argv) {
  arguments parsed;
  options::options_description all("flamingoshunt endpoint stand-in");
  auto add = all.add_options();
  add("help", "print this text");
  add("platform", options::value(&parsed.platform), "IP:port to list at");
  add("control", options::value(&parsed.control), "IP:port of control");
  add("first-port", options::value(&parsed.first_port), "0 picks free ones");
  add("instances", options::value(&parsed.instances), "how many to play");
  add("failure-domain", options::value(&parsed.domains)->composing(),
      "instances go to these in turn, fabric domain by fabric domain");
  add("region", options::value(&parsed.region), "region of all instances");
  add("instances-per-fabric", options::value(&parsed.instances_per_fabric),
      "instances in one fabric domain");
  add("load-ms", options::value(&parsed.load_ms), "time to load weights");
  add("token-delay-us", options::value(&parsed.token_delay_us),
      "time between two tokens");
  add("ignore-fencing", options::bool_switch(&parsed.ignore_fencing),
      "accept orders with old fencing numbers");
  options::variables_map given;
  options::store(options::parse_command_line(argc, argv, all), given);
  options::notify(given);
  if (given.count("help")) {
    std::cout << all;
    return std::nullopt;
  }
  if (parsed.domains.empty())
    parsed.domains = {"local-a"};
  return parsed;
}

void List(runtime::connection_pool& pool,
          const std::string& platform,
          const endpoint::instance& listed) {
  store::call call;
  call.op = store::operation::kCreate;
  call.key = {"instance", listed.id.str()};
  call.value = endpoint::EncodeInstance(listed);
  const auto encoded = store::EncodeCall(call);
  auto request = runtime::MakeRequest(encoded.method, encoded.target, platform,
                                      encoded.body, "application/json");
  for (const auto& header : encoded.headers)
    request.set(header.name, header.value);
  runtime::Fetch(pool, platform, request, std::chrono::seconds(5));
}

endpoint::instance InstanceOf(const arguments& given, int number) {
  const int fabric = number / given.instances_per_fabric;
  const std::string& domain =
      given.domains[static_cast<std::size_t>(fabric) % given.domains.size()];
  endpoint::instance instance;
  instance.id = base::instance_id("i-" + std::to_string(number));
  instance.failure_domain = base::failure_domain_id(domain);
  instance.fabric_domain =
      base::fabric_domain_id(domain + "-f" + std::to_string(fabric));
  instance.region = base::region_id(given.region);
  return instance;
}

void Run(boost::asio::io_context& loop, const arguments& given) {
  const base::system_clock clock;
  endpoint_host_options host_options;
  host_options.instance.checks_fencing = !given.ignore_fencing;
  host_options.instance.load_time = std::chrono::milliseconds(given.load_ms);
  host_options.token_delay = std::chrono::microseconds(given.token_delay_us);
  endpoint_host host(loop, host_options, clock);
  runtime::connection_pool pool(loop);
  for (int number = 0; number < given.instances; ++number) {
    endpoint::instance instance = InstanceOf(given, number);
    const int port = given.first_port == 0 ? 0 : given.first_port + number;
    instance.address =
        host.Add(instance.id, "127.0.0.1:" + std::to_string(port));
    if (!given.platform.empty())
      List(pool, given.platform, instance);
  }
  std::cout << "control " << host.Control(given.control) << std::endl;

  boost::asio::signal_set signals(loop, SIGINT, SIGTERM);
  runtime::fiber_signal stop;
  signals.async_wait([&](auto, int) { stop.Notify(); });
  stop.Wait();
  host.Close();
}

}  // namespace
}  // namespace flamingoshunt::stand_ins

int main(int argc, char** argv) {
  try {
    const auto given = flamingoshunt::stand_ins::Parse(argc, argv);
    if (!given)
      return 0;
    static boost::asio::io_context loop(1);
    const auto work = boost::asio::make_work_guard(loop);
    flamingoshunt::runtime::RunFibers(
        loop, [&] { flamingoshunt::stand_ins::Run(loop, *given); });
    std::fflush(nullptr);
    // Hanging fibers of the fault switches have no one to wait for.
    std::_Exit(0);
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
    return 1;
  }
}
