// Defines the outside of the commands from memory: a platform store with one
// fault switch, nodes' answers, files, and virtual time.
#ifndef FLAMINGOSHUNT_CONTROL_TESTS_FAKE_OUTSIDE_H_
#define FLAMINGOSHUNT_CONTROL_TESTS_FAKE_OUTSIDE_H_

#include <functional>
#include <map>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "control/invocation.h"
#include "stand_ins/platform_store.h"
#include "store/http_codec.h"

namespace flamingoshunt::control {

class fake_outside final : public outside {
 public:
  void UsePlatform(std::vector<std::string> addresses) override {
    platform = std::move(addresses);
  }

  store::reply Perform(const store::call& request) override {
    if (before_call)
      before_call(request);
    if (down)
      return store::ReplyWithoutResponse(request, false);
    const store::reply answer = store.Apply(request);
    const bool write = request.op != store::operation::kGet &&
                       request.op != store::operation::kList;
    if (write && lose_answers > 0) {
      --lose_answers;
      return store::ReplyWithoutResponse(request, true);
    }
    return answer;
  }

  std::optional<admin_answer> Ask(const std::string& address,
                                  const std::string& method,
                                  const std::string& target) override {
    asked.push_back(method + " " + address + target);
    return answer ? answer(address, target) : std::nullopt;
  }

  void Sleep(base::duration span) override { now += span; }
  base::time_point Now() const override { return now; }
  base::wall_time WallNow() const override {
    return base::wall_time(now.time_since_epoch());
  }
  std::optional<std::string> ReadFile(const std::string& path) override {
    const auto found = files.find(path);
    if (found == files.end())
      return std::nullopt;
    return found->second;
  }
  void WriteFile(const std::string& path, const std::string& text) override {
    files[path] = text;
  }
  std::string WriterToken() override {
    return "writer-" + std::to_string(++writers);
  }

  /// Runs one command line; output and errors are in the members.
  exit_code Call(const std::vector<std::string>& words) {
    std::ostringstream out_stream;
    std::ostringstream error_stream;
    const exit_code code = Run(words, *this, out_stream, error_stream);
    out = out_stream.str();
    errors = error_stream.str();
    return code;
  }

  stand_ins::platform_store store;
  std::function<void(const store::call&)> before_call;
  std::function<std::optional<admin_answer>(const std::string&,
                                            const std::string&)>
      answer;
  bool down = false;
  int lose_answers = 0;
  std::map<std::string, std::string> files;
  std::vector<std::string> platform;
  std::vector<std::string> asked;
  base::time_point now{};
  int writers = 0;
  std::string out;
  std::string errors;
};

}  // namespace flamingoshunt::control

#endif  // FLAMINGOSHUNT_CONTROL_TESTS_FAKE_OUTSIDE_H_
