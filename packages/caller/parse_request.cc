#include "caller/parse_request.h"

#include <algorithm>
#include <array>

#include "base/hash.h"
#include "caller/completion_body.h"
#include "caller/errors.h"
#include "caller/header_fields.h"
#include "caller/prefix_hashes.h"

namespace flamingoshunt::caller {
namespace {

constexpr std::string_view kServicePrefix = "/services/";
constexpr std::size_t kBytesPerToken = 4;  // rough average

std::string GenerateId(base::random_engine& random) {
  constexpr char kDigits[] = "0123456789abcdef";
  constexpr std::size_t kIdDigits = 32;
  std::string id;
  for (std::size_t i = 0; i < kIdDigits; ++i)
    id.push_back(kDigits[base::RandomIndex(random, 16)]);
  return id;
}

// Compares with every key of every workspace in constant time, so that the
// duration does not reveal a partial match.
const catalogue::workspace& FindWorkspace(const catalogue::snapshot& catalogue,
                                          std::string_view key) {
  const std::string hash = base::Sha256Hex(key);
  const catalogue::workspace* matching_workspace = nullptr;
  for (const auto& [id, workspace] : catalogue.workspaces)
    for (const std::string& candidate : workspace.key_hashes)
      if (base::EqualInConstantTime(candidate, hash))
        matching_workspace = &workspace;
  if (!matching_workspace)
    throw request_error(401, "key_unknown", "the key is of no workspace");
  return *matching_workspace;
}

const catalogue::entry& FindEntry(const catalogue::snapshot& catalogue,
                                  const base::entry_name& name,
                                  catalogue::entry_kind kind) {
  const auto position = catalogue.entries.find(name);
  if (position == catalogue.entries.end() || position->second.kind != kind)
    throw request_error(404, "entry_unknown",
                        "no such entry: " + name.str().substr(0, 80));
  return position->second;
}

bool IsRepeatableMethod(std::string_view method) {
  constexpr std::array<std::string_view, 5> kRepeatable = {"GET", "HEAD", "PUT",
                                                           "DELETE", "OPTIONS"};
  return std::find(kRepeatable.begin(), kRepeatable.end(), method) !=
         kRepeatable.end();
}

// The rule with the longest matching path prefix decides; without one, the HTTP
// method does.
bool IsRepeatableCall(const catalogue::entry& entry,
                      std::string_view method,
                      std::string_view path) {
  const catalogue::call_rule* longest_match = nullptr;
  for (const catalogue::call_rule& rule : entry.call_rules) {
    const bool matches =
        rule.method == method &&
        path.substr(0, rule.path_prefix.size()) == rule.path_prefix;
    if (matches && (!longest_match || rule.path_prefix.size() >
                                          longest_match->path_prefix.size()))
      longest_match = &rule;
  }
  return longest_match ? longest_match->repeatable : IsRepeatableMethod(method);
}

void CheckTarget(std::string_view target) {
  if (target.size() > kMaxTargetBytes)
    throw request_error(414, "target_too_long",
                        std::to_string(target.size()) + " characters; " +
                            std::to_string(kMaxTargetBytes) + " are taken");
  const bool printable = std::all_of(target.begin(), target.end(),
                                     [](char c) { return c > ' ' && c < 127; });
  if (!printable || target.empty() || target.front() != '/')
    throw request_error(400, "target_invalid", "the request target is invalid");
}

int ParseHexDigit(char c) {
  if (c >= '0' && c <= '9')
    return c - '0';
  const char lower = static_cast<char>(c | 0x20);
  return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

bool IsUnreservedOrSlash(int byte) {
  constexpr std::string_view kMarks = "-._~/";
  const char c = static_cast<char>(byte);
  return (c >= '0' && c <= '9') || (c >= 'A' && c <= 'Z') ||
         (c >= 'a' && c <= 'z') || kMarks.find(c) != std::string_view::npos;
}

// An alternative spelling of a path ("/%6frders", "/drafts/../orders") could
// bypass a rule that marks its calls as non-repeatable, so only the canonical
// spelling is accepted.
bool IsPlainPath(std::string_view path) {
  if (path.find("/.") != std::string_view::npos ||
      path.find("//") != std::string_view::npos)
    return false;
  for (std::size_t i = path.find('%'); i != std::string_view::npos;
       i = path.find('%', i + 1)) {
    if (i + 2 >= path.size())
      return false;
    const int high_digit = ParseHexDigit(path[i + 1]);
    const int low_digit = ParseHexDigit(path[i + 2]);
    if (high_digit < 0 || low_digit < 0 ||
        IsUnreservedOrSlash(high_digit * 16 + low_digit))
      return false;
  }
  return true;
}

void CheckServicePath(std::string_view path) {
  if (!IsPlainPath(path))
    throw request_error(400, "target_invalid",
                        "a service path must not hold '//', '/.' or a "
                        "percent-encoded letter, digit, '-._~' or '/'");
}

void FillCompletion(const http_request& http,
                    const header_fields& fields,
                    const catalogue::snapshot& catalogue,
                    request& out) {
  if (http.method != "POST")
    throw request_error(405, "method_not_allowed",
                        std::string(http.target) + " takes POST only");
  const completion_body body = ParseCompletionBody(http.body, out.shape);
  const catalogue::entry& entry =
      FindEntry(catalogue, body.entry, catalogue::entry_kind::kEngine);
  out.entry = entry.name;
  out.work = std::max(out.work, entry.work);
  out.target = http.target;
  out.stream = body.stream;
  out.prompt_tokens = body.prompt_tokens;
  out.max_tokens = body.max_tokens;
  out.prefix_hashes = ComputePrefixHashes(out.entry, body.prompt);
  out.repeatable = out.idempotency_key.empty() && !fields.IsNonIdempotent();
}

void FillService(const http_request& http,
                 const header_fields& fields,
                 const catalogue::snapshot& catalogue,
                 request& out) {
  std::string_view remainder = http.target.substr(kServicePrefix.size());
  const std::size_t end = remainder.find_first_of("/?");
  const std::string_view name = remainder.substr(0, end);
  remainder = end == std::string_view::npos ? std::string_view()
                                            : remainder.substr(end);
  out.target = remainder.empty() || remainder.front() != '/' ? "/" : "";
  out.target += remainder;
  const std::string_view path =
      std::string_view(out.target).substr(0, out.target.find('?'));
  CheckServicePath(path);
  const catalogue::entry& entry =
      FindEntry(catalogue, base::entry_name(std::string(name)),
                catalogue::entry_kind::kService);
  out.entry = entry.name;
  out.work = std::max(out.work, entry.work);
  out.prompt_tokens = http.body.size() / kBytesPerToken + 1;
  out.repeatable =
      IsRepeatableCall(entry, http.method, path) && !fields.IsNonIdempotent();
}

call_shape ClassifyTarget(std::string_view target) {
  const std::string_view path = target.substr(0, target.find('?'));
  if (path == "/v1/completions")
    return call_shape::kCompletion;
  if (path == "/v1/chat/completions")
    return call_shape::kChatCompletion;
  if (path.substr(0, kServicePrefix.size()) == kServicePrefix)
    return call_shape::kService;
  throw request_error(404, "path_unknown",
                      "no such path: " + std::string(path.substr(0, 80)));
}

request Parse(const http_request& http,
              const catalogue::snapshot& catalogue,
              base::time_point received) {
  const header_fields fields(http.headers);
  CheckTarget(http.target);
  request out;
  out.shape = ClassifyTarget(http.target);
  const catalogue::workspace& workspace =
      FindWorkspace(catalogue, fields.BearerKey());
  out.workspace = workspace.id;
  out.work = workspace.best_class;
  if (http.body.size() > kMaxBodyBytes)
    throw request_error(413, "body_too_large",
                        std::to_string(http.body.size()) + " bytes; " +
                            std::to_string(kMaxBodyBytes) + " are taken");
  out.method = http.method;
  out.content_type = fields.Find("Content-Type").value_or("");
  out.idempotency_key = fields.IdempotencyKey();
  out.deadline = fields.Deadline(received);
  out.traceparent = fields.Traceparent();
  if (out.shape == call_shape::kService)
    FillService(http, fields, catalogue, out);
  else
    FillCompletion(http, fields, catalogue, out);
  out.body = http.body;
  out.fingerprint = ComputeFingerprint(out.workspace, out.entry, out.body);
  return out;
}

std::string ChooseEchoedId(const std::vector<http_header>& headers,
                           const std::string& generated_id) {
  try {
    const std::string caller_id = header_fields(headers).EchoedId();
    return caller_id.empty() ? generated_id : caller_id;
  } catch (const request_error&) {
    return generated_id;
  }
}

}  // namespace

parsed_request ParseRequest(const http_request& http,
                            const catalogue::snapshot& catalogue,
                            base::time_point received,
                            base::random_engine& random) {
  const std::string generated_id = GenerateId(random);
  parsed_request parsed{.echoed_id = ChooseEchoedId(http.headers, generated_id),
                        .result = problem{}};
  try {
    request accepted = Parse(http, catalogue, received);
    accepted.id = base::request_id(generated_id);
    accepted.echoed_id = parsed.echoed_id;
    parsed.result = std::move(accepted);
  } catch (const request_error& error) {
    parsed.result = error.problem();
  }
  return parsed;
}

}  // namespace flamingoshunt::caller
