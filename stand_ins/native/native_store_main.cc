// The store of the users' platform as a program, on loopback.
#include <csignal>
#include <iostream>

#include "runtime/fiber_scheduler.h"
#include "stand_ins/native/native_store.h"

int main() {
  namespace runtime = flamingoshunt::runtime;
  std::signal(SIGPIPE, SIG_IGN);
  boost::asio::io_context loop(1);
  const auto work = boost::asio::make_work_guard(loop);
  flamingoshunt::stand_ins::native_store store(loop, "127.0.0.1:0");
  std::cout << "store " << store.address() << std::endl;
  runtime::RunFibers(loop, [&] {
    store.Start();
    runtime::fiber_signal forever;
    forever.Wait();
  });
  return 0;
}
