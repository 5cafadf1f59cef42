// Defines a small catalogue and valid requests for it, which tests modify.
#ifndef FLAMINGOSHUNT_CALLER_TESTS_FAKES_SAMPLE_REQUESTS_H_
#define FLAMINGOSHUNT_CALLER_TESTS_FAKES_SAMPLE_REQUESTS_H_

#include <string>

#include "base/hash.h"
#include "caller/parse_request.h"

namespace flamingoshunt::caller {

inline catalogue::snapshot MakeSampleCatalogue() {
  catalogue::snapshot snapshot;
  catalogue::entry engine;
  engine.name = base::entry_name("ripen-llm");
  engine.work = catalogue::work_class::kInteractive;
  catalogue::entry service;
  service.name = base::entry_name("room-ops");
  service.kind = catalogue::entry_kind::kService;
  service.call_rules = {{"POST", "/drafts", true},
                        {"POST", "/drafts/final", false},
                        {"PUT", "/orders", false}};
  snapshot.entries = {{engine.name, engine}, {service.name, service}};
  catalogue::workspace workspace;
  workspace.id = base::workspace_id("tablets");
  workspace.key_hashes = {base::Sha256Hex("old"), base::Sha256Hex("secret")};
  workspace.best_class = catalogue::work_class::kStandard;
  snapshot.workspaces = {{workspace.id, workspace}};
  return snapshot;
}

/// A request that owns its parts.
struct sample_request {
  std::string method = "POST";
  std::string target = "/v1/completions";
  std::vector<std::pair<std::string, std::string>> headers = {
      {"Authorization", "Bearer secret"}};
  std::string body = R"({"model":"ripen-llm","prompt":"room 4"})";

  parsed_request Parse(base::time_point received = {}) const {
    http_request http{method, target, {}, body};
    for (const auto& [name, value] : headers)
      http.headers.push_back({name, value});
    base::random_engine random(1);
    return ParseRequest(http, MakeSampleCatalogue(), received, random);
  }
};

inline sample_request MakeServiceCall(const std::string& method,
                                      const std::string& target) {
  sample_request sample;
  sample.method = method;
  sample.target = "/services/room-ops" + target;
  sample.body = "{}";
  return sample;
}

}  // namespace flamingoshunt::caller

#endif  // FLAMINGOSHUNT_CALLER_TESTS_FAKES_SAMPLE_REQUESTS_H_
