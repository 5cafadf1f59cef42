// Three replicas of a service crash, one after the other, while requests of a
// route that was added later are in flight there; each is replaced, and all is
// calm. Then the route's requests are counted.
#include <array>
#include <cstdio>
#include <memory>

#include "review/parts-2/kit.h"

namespace {

using namespace review;
namespace json = boost::json;

constexpr int kReplicas = 8;
constexpr int kCrashes = 3;
constexpr int kDownMs = 4500;
constexpr int kStableMs = 3000;
constexpr int kConfigApplyMs = 2000;
constexpr int kMeasuredMs = 10'000;
constexpr int kCallers = 8;  // Of each route.
constexpr int kWorkMs = 100;
constexpr char kStatusPath[] = "/added7/status";
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
    const std::string target =
        (added ? std::string(kStatusPath) + "?room=" : "/cufi504/") +
        std::to_string(pause_ms) + '-' + std::to_string(i);
    const message answer =
        Call(port, MakeRequest("GET", target, kKey, &id), 3000);
    Record("request " + id + " GET " + target + (added ? " added" : " first") +
           " route: " + std::to_string(answer.Status()) + " " + answer.body);
    if (counted) {
      ++of.sent;
      of.served += answer.Status() == 200 ? 1 : 0;
      of.refused += answer.Status() == 503 ? 1 : 0;
    }
    SleepMs(pause_ms);
  }
}

}  // namespace

int main() {
  OpenRecord("review/7/record.txt");
  const json::array services{json::object{{"name", "wuno96b"},
                                          {"health_path", "/health"},
                                          {"max_connections", 208}}};
  const json::array tenants{
      json::object{{"name", "hule930"}, {"api_keys", json::array{kKey}}}};
  store platform;
  platform.Put("config", "main",
               MakeConfiguration(7, {MakeRoute("/cufi504/", "safe", "wuno96b")},
                                 services, tenants));
  std::vector<std::unique_ptr<replica>> replicas;
  // By replica: requests of the added route that are in flight there.
  std::array<std::atomic<int>, kReplicas + kCrashes> in_flight{};
  const auto add = [&] {
    std::atomic<int>& here = in_flight.at(replicas.size());
    replicas.push_back(std::make_unique<replica>(
        platform, "i-" + std::to_string(replicas.size()), "wuno96b", 6));
    replicas.back()->on_request = [&here, name = replicas.back()->id()](
                                      int socket, const message& request) {
      const bool is_added = request.target.rfind(kStatusPath, 0) == 0;
      here += is_added ? 1 : 0;
      SleepMs(kWorkMs);
      const std::string body = "done by " + name;
      SendAll(socket, Answer(200, SignedFields(request, body), body));
      here -= is_added ? 1 : 0;
      return true;
    };
    replicas.back()->Start();
  };
  for (int i = 0; i < kReplicas; ++i)
    add();
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
  for (int i = 0; i < kCrashes; ++i) {
    const auto each = static_cast<std::size_t>(i);
    for (int ms = 0; HasTrouble() && in_flight.at(each) == 0 && ms < 2000; ++ms)
      SleepMs(1);
    if (HasTrouble())
      replicas.at(each)->Crash();
    SleepMs(kDownMs);
    if (HasTrouble()) {
      // A crashed one comes back with a new id; the old entry lapses.
      platform.Delete("servers", replicas.at(each)->id());
      add();
    }
    SleepMs(4000);
  }
  SleepMs(kStableMs);
  Record("all replicas are sound again; measuring");
  measures = true;
  SleepMs(kMeasuredMs);
  stop = true;
  for (std::thread& each : callers)
    each.join();
  const std::string result =
      "first route: " + std::to_string(first.served) + " of " +
      std::to_string(first.sent) +
      " served; added route: " + std::to_string(added.served) + " of " +
      std::to_string(added.sent) + " served, " + std::to_string(added.refused) +
      " refused with 503";
  if (first.sent < 20 || added.sent < 20)
    Finish(2, "too few requests; " + result);
  // Served a quarter as often.
  const bool broken = added.served * first.sent * 4 < first.served * added.sent;
  Finish(broken ? 1 : 0, result);
}
