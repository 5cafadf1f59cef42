// A config adds a streaming route to a service whose replicas number their
// events by the tokens written so far, six at a time: the ids increase, but not
// by one.
#include <cstdio>
#include <cstdlib>
#include <memory>

#include "review/parts-2/kit.h"

namespace {

using namespace review;
namespace json = boost::json;

constexpr int kReplicas = 3;
constexpr int kEvents = 10;
constexpr int kEventMs = 20;
constexpr int kRequests = 30;  // On each route.
constexpr int kStableMs = 3000;
constexpr int kConfigApplyMs = 2000;
constexpr char kKey[] = "n2ctnfzs989anu6wsjnb";

std::string Chunk(const std::string& text) {
  char size[16];
  std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
  return size + text + "\r\n";
}

// Writes the events after Last-Event-Id.
bool Stream(int socket,
            const message& request,
            const std::string& by,
            int step) {
  std::string head = "HTTP/1.1 200 OK\r\n";
  for (const auto& [name, value] : SignedFields(request, "")) {
    if (name != "Content-Type")
      head.append(name).append(": ").append(value).append("\r\n");
  }
  if (!SendAll(socket, head + "Content-Type: text/event-stream\r\n"
                              "Transfer-Encoding: chunked\r\n\r\n"))
    return true;
  const int after = std::atoi(request.Field("Last-Event-Id").c_str());
  Record(by + " runs " + request.Field("X-Flamingoshunt-Request-Id") +
         " after event " + std::to_string(after));
  for (int id = after + step; id <= kEvents * step; id += step) {
    if (!SendAll(socket,
                 Chunk("id: " + std::to_string(id) + "\ndata: word\n\n")))
      return true;
    SleepMs(kEventMs);
  }
  SendAll(socket, "0\r\n\r\n");
  return true;
}

json::object MakeStreamingRoute(const std::string& prefix,
                                const std::string& service) {
  json::object route = MakeRoute(prefix, "streaming", service);
  route["timeout_ms"] = 8000;
  route["target_latency_ms"] = 400;
  route["gap_aim_ms"] = 250;
  route["max_attempts"] = 2;
  route["resume_streams"] = true;
  return route;
}

json::object MakeService(const std::string& name) {
  return {{"name", name}, {"health_path", "/health"}, {"max_connections", 208}};
}

// @return how many of the requests got a whole answer.
int Ask(int port, const std::string& prefix, int step) {
  int served = 0;
  for (int i = 0; i < kRequests; ++i) {
    std::string id;
    const message answer =
        Call(port,
             MakeRequest("POST", prefix + std::to_string(i), kKey, &id,
                         "draft " + std::to_string(i)),
             9000);
    const std::string last = "id: " + std::to_string(kEvents * step) + "\n";
    const bool whole = answer.Status() == 200 && answer.complete &&
                       answer.body.find(last) != std::string::npos;
    served += whole ? 1 : 0;
    Record("request " + id + " " + prefix + ": status " +
           std::to_string(answer.Status()) + ", " +
           std::to_string(answer.body.size()) + " bytes, " +
           (whole ? "whole" : "cut off"));
  }
  return served;
}

}  // namespace

int main() {
  OpenRecord("review/9/record.txt");
  const json::array tenants{
      json::object{{"name", "hule930"}, {"api_keys", json::array{kKey}}}};
  const json::object first_route = MakeStreamingRoute("/lohu930/", "huvo11a");
  store platform;
  platform.Put(
      "config", "main",
      MakeConfiguration(7, {first_route}, {MakeService("huvo11a")}, tenants));
  std::vector<std::unique_ptr<replica>> replicas;
  for (const auto& [service, step] :
       {std::pair("huvo11a", 1), std::pair("bifa22c", 6)}) {
    for (int i = 0; i < kReplicas; ++i) {
      const std::string id = "i-" + std::string(service) + std::to_string(i);
      replicas.push_back(std::make_unique<replica>(platform, id, service, 26));
      replicas.back()->on_request = [id, by = step](int socket,
                                                    const message& request) {
        return Stream(socket, request, id, by);
      };
      replicas.back()->Start();
    }
  }
  node front("front-abbotsford-1", "abbotsford", platform.port());
  front.Start();
  if (!front.AwaitReady(20'000))
    Finish(2, "the node isn't ready");
  SleepMs(kStableMs + 1000);
  if (HasTrouble()) {
    platform.Put(
        "config", "main",
        MakeConfiguration(
            12, {first_route, MakeStreamingRoute("/added7/", "bifa22c")},
            {MakeService("huvo11a"), MakeService("bifa22c")}, tenants));
    Record("version 12 acknowledged: a route was added");
  }
  SleepMs(kConfigApplyMs + kStableMs);
  const int first = Ask(front.caller_port(), "/lohu930/", 1);
  const int added = HasTrouble() ? Ask(front.caller_port(), "/added7/", 6) : 0;
  std::string result = "first route: " + std::to_string(first) + " of " +
                       std::to_string(kRequests) + " served";
  if (HasTrouble())
    result += "; added route: " + std::to_string(added) + " of " +
              std::to_string(kRequests) + " served";
  if (first < kRequests / 2)
    Finish(2, result);
  Finish(HasTrouble() && added * 4 < first ? 1 : 0, result);
}
