// The platform stand-in as a program: serves the object API on loopback.
#include <boost/asio/signal_set.hpp>
#include <boost/program_options.hpp>

#include <cstdio>
#include <exception>
#include <iostream>

#include "runtime/fiber_scheduler.h"
#include "stand_ins/platform_host.h"

namespace {

namespace options = boost::program_options;
namespace stand_ins = flamingoshunt::stand_ins;
namespace runtime = flamingoshunt::runtime;

void Run(boost::asio::io_context& loop, const std::string& address) {
  const flamingoshunt::base::system_clock clock;
  stand_ins::platform_host host(loop, clock);
  std::cout << "platform " << host.Listen(address) << std::endl;
  boost::asio::signal_set signals(loop, SIGINT, SIGTERM);
  runtime::fiber_signal stop;
  signals.async_wait([&](auto, int) { stop.Notify(); });
  stop.Wait();
  host.Close();
}

}  // namespace

int main(int argc, char** argv) {
  try {
    std::string address = "127.0.0.1:0";
    options::options_description all("flamingoshunt platform stand-in");
    all.add_options()("help", "print this text")(
        "listen", options::value(&address), "IP:port");
    options::variables_map given;
    options::store(options::parse_command_line(argc, argv, all), given);
    options::notify(given);
    if (given.count("help")) {
      std::cout << all;
      return 0;
    }
    static boost::asio::io_context loop(1);
    const auto work = boost::asio::make_work_guard(loop);
    runtime::RunFibers(loop, [&] { Run(loop, address); });
    std::fflush(nullptr);
    std::_Exit(0);
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
    return 1;
  }
}
