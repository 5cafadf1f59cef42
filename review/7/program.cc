// The only key of the only tenant is taken away; requests with that key, with a
// key that never was, and with none must not run any more.
#include <cstdio>

#include "review/parts-2/kit.h"

int main() {
  using namespace review;
  namespace json = boost::json;
  OpenRecord("review/7/record.txt");
  constexpr int kConfigApplyMs = 2000;
  constexpr int kStableMs = 3000;
  const std::string key = "n2ctnfzs989anu6wsjnb";
  const json::array routes{MakeRoute("/puxa403/", "unsafe", "wuno96b")};
  const json::array services{json::object{{"name", "wuno96b"},
                                          {"health_path", "/health"},
                                          {"max_connections", 208}}};
  const auto tenants = [](const json::array& keys) {
    return json::array{json::object{{"name", "hule930"}, {"api_keys", keys}}};
  };
  store platform;
  platform.Put("config", "main",
               MakeConfiguration(7, routes, services, tenants({key.c_str()})));
  std::vector<std::unique_ptr<replica>> replicas;
  std::mutex mutex;
  std::map<std::string, std::string> ran;  // Tenants by request.
  for (int i = 0; i < 3; ++i) {
    replicas.push_back(std::make_unique<replica>(
        platform, "i-" + std::to_string(i), "wuno96b", 6));
    replicas.back()->on_request = [&](int, const message& request) {
      const std::lock_guard lock(mutex);
      ran[request.Field("X-Flamingoshunt-Request-Id")] =
          request.Field("X-Flamingoshunt-Tenant");
      return false;
    };
    replicas.back()->Start();
  }
  node front("front-abbotsford-1", "abbotsford", platform.port());
  front.Start();
  if (!front.AwaitReady(20'000))
    Finish(2, "the node isn't ready");
  SleepMs(kStableMs + 1000);

  const auto send = [&](const std::string& with, const std::string& what) {
    std::string id;
    const message answer =
        Call(front.caller_port(),
             MakeRequest("POST", "/puxa403/2f", with, &id, "release pallet 7"),
             3000);
    const std::lock_guard lock(mutex);
    const bool has_run = ran.contains(id);
    Record("request " + id + " " + what + ": answered " +
           std::to_string(answer.Status()) +
           (has_run ? ", ran, tenant \"" + ran[id] + "\"" : ", not run"));
    return std::pair(answer.Status(), has_run);
  };

  for (int i = 0; i < 10; ++i) {
    if (send(key, "with the key").first != 200)
      Finish(2, "a request with the key isn't served");
    if (send("never0was0a0key", "with an unknown key").second ||
        send("", "without a key").second)
      Finish(1, "a request without a key ran before the change");
  }
  if (HasTrouble()) {
    platform.Put("config", "main",
                 MakeConfiguration(12, routes, services, tenants({})));
    Record("version 12 acknowledged: the tenant has no key any more");
  }
  SleepMs(kConfigApplyMs + 500);
  int dropped = 0;
  int unknown = 0;
  for (int i = 0; i < 10; ++i) {
    const bool with_key = send(key, "with the key").second;
    dropped += HasTrouble() && with_key ? 1 : 0;
    unknown += send("never0was0a0key", "with an unknown key").second ? 1 : 0;
    unknown += send("", "without a key").second ? 1 : 0;
  }
  if (dropped + unknown > 0)
    Finish(1, std::to_string(dropped) +
                  " of 10 requests with the dropped key " + "and " +
                  std::to_string(unknown) +
                  " of 20 whose key no config ever held ran, later than " +
                  "config_apply_ms after the acknowledgement");
  Finish(0, "no request without a valid key ran");
}
