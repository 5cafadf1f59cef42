// flamingoshuntd: the one server process; every entry instance runs the same.
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/program_options.hpp>

#include <csignal>
#include <cstdio>
#include <fstream>
#include <functional>
#include <iostream>
#include <random>
#include <sstream>

#include "daemon/gateway_node.h"
#include "daemon/node.h"
#include "fleet/poll_delays.h"
#include "groups/leader_election.h"
#include "platform/native_deployment.h"
#include "platform/store_port.h"
#include "settings/settings.h"
#include "telemetry/log.h"

namespace {

namespace options = boost::program_options;
namespace base = flamingoshunt::base;
namespace daemon_ns = flamingoshunt::daemon;
namespace fleet = flamingoshunt::fleet;
namespace groups = flamingoshunt::groups;
namespace platform = flamingoshunt::platform;
namespace settings = flamingoshunt::settings;
namespace telemetry = flamingoshunt::telemetry;

constexpr int kExitOk = 0;
constexpr int kExitFailure = 1;  // Could not run, or a drain was cut short.
constexpr int kExitUsage = 2;    // Bad command line or settings.
// Several lines a request at a node's usual load, with room for a crest.
constexpr double kLogLinesPerSecond = 400;

std::string ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file)
    throw base::user_error("settings file \"" + path + "\": can't be read");
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

telemetry::log_settings LogSettings(const settings::daemon_settings& all) {
  telemetry::log_settings log;
  log.lowest = static_cast<telemetry::log_level>(all.telemetry.level);
  log.node = all.self.node.str();
  log.to_standard_output = all.gateway.has_value();
  if (all.gateway)
    log.lines_per_second = kLogLinesPerSecond;
  return log;
}

std::uint64_t Seed() {
  std::random_device entropy;
  return (std::uint64_t{entropy()} << 32 | entropy()) >> 1;
}

// Everything that must last is in the platform already; threads that wait for
// ever need no unwinding.
[[noreturn]] void End(bool complete) {
  telemetry::FlushLog();
  std::fflush(nullptr);
  std::_Exit(complete ? kExitOk : kExitFailure);
}

// Waits for the signal to stop; on SIGHUP reads the settings file again.
void WaitForStop(const std::string& config) {
  // Blocked before any thread starts, so that only this wait sees them.
  static boost::asio::io_context loop(1);
  static boost::asio::signal_set signals(loop, SIGINT, SIGTERM, SIGHUP);
  const auto reload = [&] {
    try {
      const auto read = settings::ReadSettings(ReadFile(config));
      telemetry::SetUpLog(LogSettings(read));
      telemetry::LogChange(
          "node", "reloaded",
          {{"applied", "log level"}, {"after_restart", "everything else"}});
    } catch (const base::user_error& error) {
      telemetry::LogChange("node", "reload_failed", {{"why", error.what()}},
                           telemetry::log_level::kWarning);
    }
  };
  std::function<void()> wait = [&] {
    signals.async_wait([&](auto, int signal) {
      if (signal != SIGHUP)
        return;
      reload();
      wait();
    });
  };
  wait();
  loop.run();
}

int ServeGateway(const settings::daemon_settings& all,
                 const std::string& config) {
  const base::system_clock clock;
  const platform::native_deployment deployment;
  const platform::native_protocol protocol;
  platform::store_port_options options;
  for (const auto& address : all.platform.addresses)
    options.addresses.push_back(address.Text());
  options.connect_timeout = all.timeouts.connect;
  options.poll_delay_by_kind[std::string(deployment.replica_kind())] =
      fleet::poll_delays::kOwnReplicas;
  options.poll_delay_by_kind[groups::kFleetKind] =
      fleet::poll_delays::kOwnNodes;
  const auto make_port = [&](boost::asio::io_context& loop,
                             flamingoshunt::store::port_receiver deliver) {
    return std::make_unique<platform::store_port>(loop, options,
                                                  std::move(deliver));
  };
  daemon_ns::gateway_node node(all, deployment, protocol, make_port, clock,
                               Seed());
  node.Start();
  WaitForStop(config);
  End(node.StopGracefully());
}

int Serve(const settings::daemon_settings& all, const std::string& config) {
  telemetry::SetUpLog(LogSettings(all));
  if (all.gateway)
    return ServeGateway(all, config);
  const base::system_clock clock;
  daemon_ns::node node(all, clock, Seed());
  node.Start();
  WaitForStop(config);
  End(node.StopGracefully());
}

int Run(int argc, char** argv) {
  std::string config;
  options::options_description all(
      "flamingoshuntd --config FILE [--check]\n\nServes model replicas that "
      "span several instances.\nExit codes: 0 done, 1 failure, 2 bad command "
      "line or settings.\n\nOptions");
  auto add = all.add_options();
  add("help,h", "print this text");
  add("config", options::value(&config), "settings, a JSON file");
  add("check", "check the settings and exit with 0 or 2");
  options::variables_map given;
  options::store(options::parse_command_line(argc, argv, all), given);
  options::notify(given);
  if (given.count("help")) {
    std::cout << all;
    return kExitOk;
  }
  if (config.empty())
    throw base::user_error("--config FILE is required");
  const auto parsed = settings::ReadSettings(ReadFile(config));
  if (given.count("check"))
    return kExitOk;
  return Serve(parsed, config);
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return Run(argc, argv);
  } catch (const base::user_error& error) {
    std::cerr << "flamingoshuntd: " << error.what() << '\n';
    return kExitUsage;
  } catch (const options::error& error) {
    std::cerr << "flamingoshuntd: " << error.what() << '\n';
    return kExitUsage;
  } catch (const std::exception& error) {
    std::cerr << "flamingoshuntd: " << error.what() << '\n';
    return kExitFailure;
  }
}
