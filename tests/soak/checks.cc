#include "tests/soak/checks.h"

#include <boost/fiber/operations.hpp>

namespace flamingoshunt::soak {
namespace {

constexpr int kOk = 200;
constexpr int kUnavailable = 503;
constexpr int kTooManyRequests = 429;
// A request that crosses the node's close of its connection ends within this.
constexpr milliseconds kCrossing{200};
// A request that used up this much of its time may have no answer.
constexpr milliseconds kTimeUsed{4700};
// From the end of the faults until everything is served.
constexpr milliseconds kRecovery{12000};
constexpr milliseconds kRecoveryPoll{200};

milliseconds Duration(const sent_request& request) {
  return std::chrono::duration_cast<milliseconds>(request.ended_at -
                                                  request.sent_at);
}

std::string Describe(const sent_request& request, const std::string& what) {
  return what + ": " + request.id + " (" + request.kind->name + ") at " +
         request.node + ", status " + std::to_string(request.status) +
         (request.complete ? ", complete" : ", cut") + " after " +
         std::to_string(Duration(request).count()) + " ms and " +
         std::to_string(request.bytes) + " bytes; " + request.detail;
}

bool IsRefusal(const sent_request& request) {
  return request.complete &&
         (request.status == kUnavailable || request.status == kTooManyRequests);
}

bool HasAnswer(const sent_request& request) {
  return request.complete && (request.status == kOk || IsRefusal(request));
}

// A request that was sent while the node closed the idle connection.
bool CrossesClose(const sent_request& request, int runs) {
  return request.status == 0 && runs == 0 && Duration(request) < kCrossing;
}

}  // namespace

std::vector<std::string> FindBrokenPromises(
    const std::vector<sent_request>& requests,
    const std::map<std::string, int>& runs,
    fault_set set) {
  std::vector<std::string> broken;
  for (const sent_request& request : requests) {
    const auto run = runs.find(request.id);
    const int times = run == runs.end() ? 0 : run->second;
    if (request.complete && !request.valid)
      broken.push_back(Describe(request, "not the replica's whole answer"));
    if (!request.kind->repeatable && times > 1)
      broken.push_back(Describe(request, "ran more than once"));
    if (!request.kind->repeatable && times > 0 && IsRefusal(request))
      broken.push_back(Describe(request, "refused as not run, and ran"));
    const bool excused = !request.was_sent || Duration(request) >= kTimeUsed ||
                         CrossesClose(request, times);
    if (set == fault_set::kGentle && !HasAnswer(request) && !excused)
      broken.push_back(Describe(request, "no whole answer"));
  }
  return broken;
}

std::vector<std::string> FindUnserved(processes& deployment,
                                      callers& asking,
                                      int extra_routes) {
  std::vector<request_kind> kinds = callers::Kinds();
  std::vector<std::string> paths;
  paths.reserve(static_cast<std::size_t>(extra_routes));
  for (int i = 1; i <= extra_routes; ++i)
    paths.push_back("/extra" + std::to_string(i) + "/x");
  for (const std::string& path : paths)
    kinds.push_back({"extra route", path.c_str(), "", false, true, 0});
  const steady_time deadline = std::chrono::steady_clock::now() + kRecovery;
  std::vector<std::string> unserved;
  for (const node_process& node : deployment.nodes()) {
    for (const request_kind& kind : kinds) {
      sent_request last = asking.CallOnce(kind, node);
      while (!(last.status == kOk && last.complete) &&
             std::chrono::steady_clock::now() < deadline) {
        boost::this_fiber::sleep_for(kRecoveryPoll);
        last = asking.CallOnce(kind, node);
      }
      if (!(last.status == kOk && last.complete))
        unserved.push_back(Describe(last, "not served after the faults"));
    }
  }
  return unserved;
}

std::map<std::string, int> CountOutcomes(
    const std::vector<sent_request>& requests) {
  std::map<std::string, int> outcomes;
  for (const sent_request& request : requests)
    ++outcomes[std::string(request.kind->name) + " " +
               std::to_string(request.status) +
               (request.complete ? "" : " cut")];
  return outcomes;
}

}  // namespace flamingoshunt::soak
