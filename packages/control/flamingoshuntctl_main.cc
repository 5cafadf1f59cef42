// The operators' command line. Its commands are in the control package.
#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

#include "control/invocation.h"
#include "control/real_outside.h"
#include "runtime/fiber_scheduler.h"

namespace control = flamingoshunt::control;
namespace runtime = flamingoshunt::runtime;

int main(int argc, char** argv) {
  // Outlives the thread's fiber scheduler.
  static boost::asio::io_context loop(1);
  const auto work = boost::asio::make_work_guard(loop);
  const std::vector<std::string> words(argv + 1, argv + argc);
  auto code = control::exit_code::kFailure;
  runtime::RunFibers(loop, [&] {
    control::real_outside world(loop);
    code = control::Run(words, world, std::cout, std::cerr);
  });
  std::cout.flush();
  std::fflush(nullptr);
  std::_Exit(static_cast<int>(code));
}
