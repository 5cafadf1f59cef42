#include "fleet/peer_outbox.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace flamingoshunt::fleet {
namespace {

constexpr double kBytesPerMegabit = 1e6 / 8;
// Part of the link that peer traffic may use; most of it is for requests and
// answers.
constexpr double kLinkShare = 0.25;
// What may be sent at once, as time on the link: the longest delay of a request
// by one burst.
constexpr double kBurstSeconds = 0.1;

double Seconds(base::duration length) {
  return std::chrono::duration<double>(length).count();
}

}  // namespace

peer_traffic_limit peer_traffic_limit::ForLink(double link_mbps) {
  const double link_rate = link_mbps * kBytesPerMegabit;
  return {kLinkShare * link_rate, kBurstSeconds * link_rate};
}

peer_outbox::peer_outbox(peer_traffic_limit limit)
    : limit_(limit), available_(limit.burst_bytes) {}

double peer_outbox::BytesAvailable(base::time_point now) const {
  const double earned = Seconds(now - available_at_) * limit_.bytes_per_second;
  return std::min(limit_.burst_bytes, available_ + earned);
}

peer_outbox::round peer_outbox::TakeDue(base::time_point now) {
  if ((!changes_due_ && !full_due_) || BytesAvailable(now) < 0)
    return round::kNone;
  changes_due_ = false;
  return std::exchange(full_due_, false) ? round::kFull : round::kChanges;
}

void peer_outbox::OnSent(std::size_t bytes, base::time_point now) {
  available_ = BytesAvailable(now) - static_cast<double>(bytes);
  available_at_ = now;
}

std::optional<base::time_point> peer_outbox::NextTimer(
    base::time_point now) const {
  if (!changes_due_ && !full_due_)
    return std::nullopt;
  const double missing = -BytesAvailable(now);
  if (missing <= 0)
    return now;
  return now + std::chrono::ceil<base::duration>(std::chrono::duration<double>(
                   missing / limit_.bytes_per_second));
}

}  // namespace flamingoshunt::fleet
