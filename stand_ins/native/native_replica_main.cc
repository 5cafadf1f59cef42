// A replica of the users' platform as a program, on loopback. GET /-/runs
// returns how often it ran each request.
#include <boost/program_options.hpp>

#include <chrono>
#include <csignal>
#include <iostream>

#include "runtime/fiber_scheduler.h"
#include "stand_ins/native/native_replica.h"
#include "stand_ins/native/remote_registry.h"

namespace {

namespace options = boost::program_options;
namespace runtime = flamingoshunt::runtime;
namespace stand_ins = flamingoshunt::stand_ins;

std::uint64_t UnixMilliseconds() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch)
          .count());
}

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  stand_ins::native_replica_options replica_options;
  std::string store;
  int interval_ms = 0;
  options::options_description all("flamingoshunt native replica stand-in");
  auto add = all.add_options();
  add("store", options::value(&store)->required(), "IP:port of the store");
  add("id", options::value(&replica_options.id)->required(), "its entry");
  add("service", options::value(&replica_options.service)->required(), "");
  add("domain", options::value(&replica_options.domain),
      "fabric domain; none for a plain service");
  add("event-interval-ms",
      options::value(&interval_ms)->default_value(40, "40"),
      "time between two events of a stream");
  add("answer-bytes",
      options::value(&replica_options.answer_bytes)->default_value(0),
      "at least, of answers of a plain service");
  try {
    options::variables_map given;
    options::store(options::parse_command_line(argc, argv, all), given);
    options::notify(given);
  } catch (const options::error& error) {
    std::cerr << error.what() << '\n' << all;
    return 2;
  }
  replica_options.event_interval = std::chrono::milliseconds(interval_ms);
  replica_options.started_ms = UnixMilliseconds();
  boost::asio::io_context loop(1);
  const auto work = boost::asio::make_work_guard(loop);
  stand_ins::remote_registry registry(loop, store);
  stand_ins::native_replica replica(loop, replica_options, registry);
  std::cout << "replica " << replica.address() << std::endl;
  runtime::RunFibers(loop, [&] {
    registry.Start();
    replica.Start();
    runtime::fiber_signal forever;
    forever.Wait();
  });
  return 0;
}
