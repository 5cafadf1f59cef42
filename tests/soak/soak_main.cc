// Runs real programs as separate processes on loopback, disturbs them from
// outside as a seed says, and checks what callers and replicas saw.
// Exit codes: 0 all promises held, 1 one was broken, 2 it could not run.
#include <boost/program_options.hpp>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iostream>

#include "runtime/fiber_scheduler.h"
#include "tests/soak/checks.h"

namespace {

namespace options = boost::program_options;
namespace runtime = flamingoshunt::runtime;
namespace soak = flamingoshunt::soak;
using std::chrono::milliseconds;

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

struct arguments {
  soak::deployment_options deployment;
  std::uint64_t seed = 1;
  int seconds = 15;
  int callers = 60;
  bool rough = false;
};

// @throws options::error, std::runtime_error.
arguments Parse(int argc, char** argv) {
  arguments parsed;
  soak::deployment_options& deployment = parsed.deployment;
  options::options_description all("flamingoshunt soak");
  auto add = all.add_options();
  add("build", options::value(&deployment.build)->required(),
      "build folder of the stand-ins and of the daemon");
  add("daemon", options::value(&deployment.daemons)->composing(),
      "flamingoshuntd that nodes run instead, in turn if there are several");
  add("seed", options::value(&parsed.seed), "of faults and callers");
  add("seconds", options::value(&parsed.seconds), "length of the faults");
  add("nodes", options::value(&deployment.nodes), "three at least");
  add("domains", options::value(&deployment.fabric_domains),
      "fabric domains of 11 replicas each");
  add("callers", options::value(&parsed.callers), "each with a connection");
  add("rough", options::bool_switch(&parsed.rough),
      "also kill and pause nodes");
  options::variables_map given;
  options::store(options::parse_command_line(argc, argv, all), given);
  options::notify(given);
  if (deployment.daemons.empty())
    deployment.daemons = {deployment.build + "/packages/daemon/flamingoshuntd"};
  return parsed;
}

void Print(const std::string& title, const std::vector<std::string>& lines) {
  std::cout << title << '\n';
  for (const std::string& line : lines)
    std::cout << "  " << line << '\n';
}

int Run(boost::asio::io_context& loop, const arguments& given) {
  const auto set =
      given.rough ? soak::fault_set::kRough : soak::fault_set::kGentle;
  soak::processes deployment(loop, given.deployment);
  deployment.Start();
  soak::callers callers(deployment, given.seed);
  soak::faults faults(deployment, set, given.seed);
  callers.Start(given.callers);
  faults.Start(std::chrono::seconds(given.seconds));
  faults.Wait();
  callers.Stop();
  auto broken =
      soak::FindBrokenPromises(callers.requests(), deployment.Runs(), set);
  const auto unserved =
      soak::FindUnserved(deployment, callers, faults.extra_routes());
  broken.insert(broken.end(), unserved.begin(), unserved.end());
  broken.insert(broken.end(), faults.wrong_exits().begin(),
                faults.wrong_exits().end());
  std::cout << "seed " << given.seed << ": " << callers.requests().size()
            << " requests, " << faults.log().size() << " lines of faults, "
            << broken.size() << " broken promises\n";
  for (const auto& [outcome, count] : soak::CountOutcomes(callers.requests()))
    std::cout << "  " << outcome << ": " << count << '\n';
  if (broken.empty())
    return kHeld;
  Print("broken promises", broken);
  Print("faults", faults.log());
  return kBroken;
}

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  int code = kCouldNotRun;
  try {
    arguments given = Parse(argc, argv);
    std::string pattern =
        (std::filesystem::temp_directory_path() / "soak-XXXXXX").string();
    given.deployment.folder = mkdtemp(pattern.data());
    boost::asio::io_context loop(1);
    const auto work = boost::asio::make_work_guard(loop);
    runtime::RunFibers(loop, [&] {
      try {
        code = Run(loop, given);
      } catch (const std::exception& error) {
        std::cerr << error.what() << '\n';
      }
    });
    // The logs of a run that held say nothing more.
    if (code == kHeld)
      std::filesystem::remove_all(given.deployment.folder);
    else
      std::cout << "logs in " << given.deployment.folder << '\n';
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
  }
  std::cout.flush();
  // Fibers of the stand-ins' connections are not unwound.
  std::_Exit(code);
}
