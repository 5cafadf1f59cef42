// Calls an entry node as a caller does and prints the answer as it arrives:
//
//   example_call_entry_node 127.0.0.1:18101 demo-key-dispatch
//       /v1/completions '{"model":"ripen-llm","prompt":"Plan room 4"}'
//
// A fifth argument is sent as the Idempotency-Key.
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdlib>
#include <exception>
#include <iostream>

#include "runtime/fiber_scheduler.h"
#include "runtime/http_client.h"

namespace {

namespace runtime = flamingoshunt::runtime;

constexpr auto kTimeout = std::chrono::seconds(30);
constexpr int kFirstError = 400;  // HTTP status

// Prints the text of the answer as it comes and returns the HTTP status.
int Call(boost::asio::io_context& loop, int argc, char** argv) {
  const std::string address = argv[1];
  auto request = runtime::MakeRequest("POST", argv[3], address, argv[4],
                                      "application/json");
  request.set("Authorization", std::string("Bearer ") + argv[2]);
  if (argc > 5)
    request.set("Idempotency-Key", argv[5]);

  runtime::http_connection connection(loop);
  connection.Connect(address, kTimeout);
  connection.Send(request, kTimeout);
  const auto head = connection.ReadHead(kTimeout);
  std::cout << "HTTP " << head.status << "\n";
  for (const auto& [name, value] : head.fields) {
    if (name == "Retry-After" || name == "X-Request-Id")
      std::cout << name << ": " << value << "\n";
  }
  std::string body;
  while (connection.ReadSome(body, kTimeout)) {
    std::cout << body << std::flush;
    body.clear();
  }
  std::cout << "\n";
  return head.status;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 5) {
    std::cerr << "usage: example_call_entry_node IP:PORT KEY TARGET BODY "
                 "[IDEMPOTENCY-KEY]\n";
    return 2;
  }
  static boost::asio::io_context loop(1);
  const auto work = boost::asio::make_work_guard(loop);
  int status = 0;
  runtime::RunFibers(loop, [&] {
    try {
      status = Call(loop, argc, argv);
    } catch (const std::exception& error) {
      std::cerr << error.what() << "\n";
    }
  });
  return status != 0 && status < kFirstError ? EXIT_SUCCESS : EXIT_FAILURE;
}
