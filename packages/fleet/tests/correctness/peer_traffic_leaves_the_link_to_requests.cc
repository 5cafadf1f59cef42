#include <catch2/catch.hpp>

#include <deque>
#include <utility>

#include "fleet/peer_outbox.h"

namespace flamingoshunt::fleet {
namespace {

using std::chrono::milliseconds;

constexpr double kLinkMbps = 14;
constexpr double kLinkBytesPerSecond = kLinkMbps * 1e6 / 8;
constexpr std::size_t kPeers = 116;
constexpr std::size_t kChangesBytes = kPeers * 300;
constexpr std::size_t kFullBytes = kPeers * 1200;

base::time_point At(milliseconds time) {
  return base::time_point(std::chrono::hours(1) + time);
}

std::size_t RoundBytes(peer_outbox::round due) {
  switch (due) {
    case peer_outbox::round::kNone:
      return 0;
    case peer_outbox::round::kChanges:
      return kChangesBytes;
    case peer_outbox::round::kFull:
      return kFullBytes;
  }
  return 0;
}

}  // namespace

TEST_CASE("A change on an idle link is sent at once") {
  peer_outbox outbox(peer_traffic_limit::ForLink(kLinkMbps));
  CHECK_FALSE(outbox.NextTimer(At(milliseconds(0))));
  outbox.RequestChanges();
  CHECK(outbox.NextTimer(At(milliseconds(0))) == At(milliseconds(0)));
  CHECK(outbox.TakeDue(At(milliseconds(0))) == peer_outbox::round::kChanges);
  CHECK(outbox.TakeDue(At(milliseconds(0))) == peer_outbox::round::kNone);
}

TEST_CASE("A full round replaces the changes that wait") {
  peer_outbox outbox(peer_traffic_limit::ForLink(kLinkMbps));
  outbox.RequestChanges();
  outbox.RequestFull();
  CHECK(outbox.TakeDue(At(milliseconds(0))) == peer_outbox::round::kFull);
  CHECK(outbox.TakeDue(At(milliseconds(0))) == peer_outbox::round::kNone);
}

// Load pattern: a failure domain is dark for six seconds; a node places,
// queries and suspects every 10 ms, and sends its full status each second.
TEST_CASE("Peer traffic stays within its part of the link under stress") {
  peer_outbox outbox(peer_traffic_limit::ForLink(kLinkMbps));
  std::deque<std::pair<milliseconds, std::size_t>> last_second;
  std::size_t in_last_second = 0;
  std::size_t most = 0;
  int rounds = 0;
  for (milliseconds time{0}; time < milliseconds(6000); ++time) {
    if (time.count() % 10 == 0)
      outbox.RequestChanges();
    if (time.count() % 1000 == 0)
      outbox.RequestFull();
    const std::size_t bytes = RoundBytes(outbox.TakeDue(At(time)));
    if (bytes > 0) {
      ++rounds;
      outbox.OnSent(bytes, At(time));
      last_second.emplace_back(time, bytes);
      in_last_second += bytes;
    }
    while (!last_second.empty() &&
           time - last_second.front().first >= milliseconds(1000)) {
      in_last_second -= last_second.front().second;
      last_second.pop_front();
    }
    most = std::max(most, in_last_second);
  }
  CHECK(static_cast<double>(most) <=
        (0.25 + 0.1) * kLinkBytesPerSecond + kFullBytes);
  // The limit is used, and a change waits for a fraction of a second only.
  CHECK(rounds > 50);
}

TEST_CASE("A round that has to wait is due when the limit allows it") {
  peer_outbox outbox(peer_traffic_limit::ForLink(kLinkMbps));
  outbox.RequestFull();
  REQUIRE(outbox.TakeDue(At(milliseconds(0))) == peer_outbox::round::kFull);
  outbox.OnSent(1'000'000, At(milliseconds(0)));
  outbox.RequestChanges();
  CHECK(outbox.TakeDue(At(milliseconds(1))) == peer_outbox::round::kNone);
  const auto due = outbox.NextTimer(At(milliseconds(1)));
  REQUIRE(due);
  CHECK(*due > At(milliseconds(1)));
  CHECK(outbox.TakeDue(*due) == peer_outbox::round::kChanges);
}

}  // namespace flamingoshunt::fleet
