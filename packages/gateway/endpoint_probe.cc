#include "gateway/endpoint_probe.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "runtime/fiber_scheduler.h"
#include "runtime/fiber_wait.h"
#include "runtime/http_client.h"

namespace flamingoshunt::gateway {
namespace {

struct probe_round {
  probe_result result;
  std::size_t pending = 0;
  bool decided = false;
  runtime::fiber_signal finished;
};

// One connection of a round. It counts as failed unless it reached its
// endpoint, also when an error ends its fiber: the round waits for all.
class probe_outcome {
 public:
  explicit probe_outcome(probe_round& round) : round_(round) {}
  ~probe_outcome() {
    if (!reached_)
      ++round_.result.failed;
    --round_.pending;
    const bool decided =
        round_.pending == 0 ||
        round_.result.reached.size() >= endpoint_reach::kReachedUntilConnected;
    if (decided && !std::exchange(round_.decided, true))
      round_.finished.Notify();
  }
  probe_outcome(const probe_outcome&) = delete;
  probe_outcome& operator=(const probe_outcome&) = delete;

  void SetReached(const std::string& address) {
    round_.result.reached.push_back(address);
    reached_ = true;
  }

 private:
  probe_round& round_;
  bool reached_ = false;
};

bool CanConnect(boost::asio::io_context& loop,
                const std::string& address,
                base::duration timeout) {
  runtime::http_connection connection(loop);
  try {
    connection.Connect(address, timeout);
    return true;
  } catch (const runtime::transport_error&) {
    return false;  // The result of the round says so.
  }
}

}  // namespace

std::vector<std::string> ChooseProbed(std::vector<std::string> addresses,
                                      const endpoint_reach& reach,
                                      base::random_engine& random) {
  const auto& last = reach.last_reached();
  const auto others = std::partition(
      addresses.begin(), addresses.end(), [&](const std::string& address) {
        return std::find(last.begin(), last.end(), address) != last.end();
      });
  const std::size_t count =
      std::min(addresses.size(), endpoint_reach::kProbedEndpoints);
  const auto again = static_cast<std::size_t>(others - addresses.begin());
  for (std::size_t i = again; i < count; ++i)
    std::swap(addresses[i],
              addresses[i + base::RandomIndex(random, addresses.size() - i)]);
  addresses.resize(count);
  return addresses;
}

probe_result ProbeEndpoints(boost::asio::io_context& loop,
                            const std::vector<std::string>& addresses,
                            base::duration timeout) {
  const auto round = std::make_shared<probe_round>();
  round->pending = addresses.size();
  for (const std::string& address : addresses) {
    runtime::SpawnFiber([&loop, round, address, timeout] {
      probe_outcome outcome(*round);
      if (CanConnect(loop, address, timeout))
        outcome.SetReached(address);
    });
  }
  if (!addresses.empty())
    round->finished.Wait();
  return round->result;
}

}  // namespace flamingoshunt::gateway
