// Half of a service's replicas lose some of their answers for four seconds:
// they have run the request, and reset its channel. Then all is calm, and the
// requests of two routes are counted, one of which was added later.
#include <sys/socket.h>

#include <array>
#include <cstdio>
#include <memory>

#include "review/parts-2/kit.h"

namespace {

using namespace review;
namespace json = boost::json;

constexpr int kReplicas = 8;
constexpr int kLosing = 4;           // Share 0.5.
constexpr int kAnswersPerLoss = 20;  // x = 0.05.
constexpr int kLossMs = 4000;
constexpr int kWorkMs = 30;
constexpr int kStableMs = 3000;
constexpr int kConfigApplyMs = 2000;
constexpr int kMeasuredMs = 10'000;
constexpr int kCallers = 12;  // Of each route.
constexpr char kKey[] = "n2ctnfzs989anu6wsjnb";

struct counts {
  std::atomic<int> sent = 0;
  std::atomic<int> served = 0;
  std::atomic<int> refused = 0;
};

// Both routes' callers ask for another room each time. On the first route the
// room is in the path, on the added one in the query.
void CallUntil(const std::atomic<bool>& stop,
               const std::atomic<bool>& measures,
               int port,
               bool added,
               int pause_ms,
               counts& of) {
  for (int i = 0; !stop; ++i) {
    const bool counted = measures;
    std::string id;
    const std::string target = (added ? "/added7/status?room=" : "/cufi504/") +
                               std::to_string(pause_ms) + '-' +
                               std::to_string(i);
    const message answer =
        Call(port, MakeRequest("GET", target, kKey, &id), 3000);
    Record("request " + id + " GET " + target + ": " +
           std::to_string(answer.Status()) + " " + answer.body);
    if (counted) {
      ++of.sent;
      of.served += answer.Status() == 200 ? 1 : 0;
      of.refused += answer.Status() == 503 ? 1 : 0;
    }
    SleepMs(pause_ms);
  }
}

void Reset(int socket) {
  const linger at_once{1, 0};
  setsockopt(socket, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
  shutdown(socket, SHUT_RD);
}

}  // namespace

int main() {
  OpenRecord("review/8/record.txt");
  const json::array services{json::object{{"name", "wuno96b"},
                                          {"health_path", "/health"},
                                          {"max_connections", 208}}};
  const json::array tenants{
      json::object{{"name", "hule930"}, {"api_keys", json::array{kKey}}}};
  store platform;
  platform.Put("config", "main",
               MakeConfiguration(7, {MakeRoute("/cufi504/", "safe", "wuno96b")},
                                 services, tenants));
  std::atomic<bool> loses = false;
  std::atomic<int> lost = 0;
  // Of each replica, on each of the two routes.
  std::array<std::array<std::atomic<int>, 2>, kReplicas> answers{};
  std::vector<std::unique_ptr<replica>> replicas;
  for (int i = 0; i < kReplicas; ++i) {
    const std::string id = "i-" + std::to_string(i);
    replicas.push_back(std::make_unique<replica>(platform, id, "wuno96b", 6));
    replicas.back()->on_request = [&, id, i](int socket,
                                             const message& request) {
      SleepMs(kWorkMs);
      const std::size_t route = request.target.rfind("/added7/", 0) == 0;
      const bool is_lost = loses && i < kLosing &&
                           ++answers.at(static_cast<std::size_t>(i)).at(route) %
                                   kAnswersPerLoss ==
                               0;
      if (is_lost) {
        ++lost;
        Record(id + " has run " + request.Field("X-Flamingoshunt-Request-Id") +
               " GET " + request.target + ", its answer is lost");
        Reset(socket);
        return true;
      }
      const std::string body = "done by " + id;
      SendAll(socket, Answer(200, SignedFields(request, body), body));
      return true;
    };
    replicas.back()->Start();
  }
  node front("front-abbotsford-1", "abbotsford", platform.port());
  front.Start();
  if (!front.AwaitReady(20'000))
    Finish(2, "the node isn't ready");
  SleepMs(kStableMs);
  platform.Put("config", "main",
               MakeConfiguration(12,
                                 {MakeRoute("/cufi504/", "safe", "wuno96b"),
                                  MakeRoute("/added7/", "safe", "wuno96b")},
                                 services, tenants));
  SleepMs(kConfigApplyMs + 1000);

  std::atomic<bool> stop = false;
  std::atomic<bool> measures = false;
  counts first;
  counts added;
  std::vector<std::thread> callers;
  for (int i = 0; i < kCallers; ++i) {
    for (const bool to_added : {false, true})
      callers.emplace_back([&, to_added, i] {
        CallUntil(stop, measures, front.caller_port(), to_added, 30 + 7 * i,
                  to_added ? added : first);
      });
  }
  SleepMs(3000);
  Record("answers are lost from here");
  loses = HasTrouble();
  SleepMs(kLossMs);
  loses = false;
  Record("answers are lost until here");
  SleepMs(2 * kStableMs);
  Record("all has been calm for twice stable_window_ms; counting");
  measures = true;
  SleepMs(kMeasuredMs);
  stop = true;
  for (std::thread& each : callers)
    each.join();
  const std::string result =
      std::to_string(lost) +
      " answers were lost; then first route: " + std::to_string(first.served) +
      " of " + std::to_string(first.sent) +
      " served; added route: " + std::to_string(added.served) + " of " +
      std::to_string(added.sent) + " served, " + std::to_string(added.refused) +
      " refused with 503";
  if (first.sent < 20 || added.sent < 20)
    Finish(2, "too few requests; " + result);
  // Less than a quarter as often.
  const bool broken = added.served * first.sent * 4 < first.served * added.sent;
  Finish(broken ? 1 : 0, result);
}
