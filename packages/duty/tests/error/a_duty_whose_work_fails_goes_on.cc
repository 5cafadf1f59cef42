// Guards against an unexpected error in a duty's work: its timer was not armed
// again, or the messages behind the one that failed stayed in the ring.
#include <boost/asio/io_context.hpp>

#include <catch2/catch.hpp>

#include <chrono>
#include <stdexcept>
#include <vector>

#include "base/clock.h"
#include "duty/channel.h"
#include "duty/timer.h"

namespace flamingoshunt::duty {

TEST_CASE("A timer whose work failed fires again") {
  boost::asio::io_context loop;
  const base::system_clock clock;
  int fired = 0;
  timer retried(loop, [&] {
    if (++fired < 3)
      throw std::out_of_range("unexpected");
  });
  retried.Arm(clock.Now());
  loop.run_for(std::chrono::milliseconds(500));
  CHECK(fired == 3);
}

TEST_CASE("A failure after the timer was armed anew changes nothing") {
  boost::asio::io_context loop;
  const base::system_clock clock;
  int fired = 0;
  timer* self = nullptr;
  timer armed(loop, [&] {
    if (++fired > 1)
      return;
    self->Arm(clock.Now() + std::chrono::seconds(30));
    throw std::out_of_range("unexpected");
  });
  self = &armed;
  armed.Arm(clock.Now());
  loop.run_for(std::chrono::milliseconds(300));
  CHECK(fired == 1);
}

TEST_CASE("Messages behind one that failed are received") {
  boost::asio::io_context loop;
  std::vector<int> received;
  channel<int> messages(16, loop, [&](int&& message) {
    if (message % 2 == 0)
      throw std::out_of_range("unexpected");
    received.push_back(message);
  });
  for (int message : {1, 2, 3, 4, 5})
    REQUIRE(messages.TryPush(message));
  loop.run();
  CHECK(received == std::vector<int>{1, 3, 5});
  for (int message : {6, 7})
    REQUIRE(messages.TryPushQuietly(message));
  messages.TakePending();
  CHECK(received == std::vector<int>{1, 3, 5, 7});
}

}  // namespace flamingoshunt::duty
