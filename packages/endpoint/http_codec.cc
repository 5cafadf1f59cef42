#include "endpoint/http_codec.h"

#include <boost/json.hpp>

#include <chrono>
#include <limits>

#include "base/checked_json.h"

namespace flamingoshunt::endpoint {
namespace {

namespace json = boost::json;

constexpr std::size_t kMaxEventBytes = 1U << 20;
constexpr std::int64_t kMaxInteger = std::numeric_limits<std::int64_t>::max();
constexpr std::string_view kDataPrefix = "data:";
constexpr std::chrono::milliseconds kMaxValidity = std::chrono::hours(1);
constexpr std::chrono::milliseconds kMaxAge = std::chrono::hours(1);

constexpr int kHttpConflict = 409;
constexpr int kHttpServiceUnavailable = 503;

json::value ParseOrEmptyObject(std::string_view text,
                               base::json_problems& problems) {
  auto value = base::ParseJson(text, problems);
  return value ? *value : json::value(json::object());
}

void ThrowIfInvalid(const char* what, const base::json_problems& problems) {
  if (!problems.empty())
    throw malformed_message(std::string(what) + ": " + problems.front().Text());
}

std::uint64_t ReadCount(base::object_reader& reader, std::string_view key) {
  return static_cast<std::uint64_t>(reader.Integer(key, 0, kMaxInteger));
}

template <class Id>
json::array ToJsonArray(const std::vector<Id>& ids) {
  json::array array;
  for (const Id& id : ids)
    array.emplace_back(id.str());
  return array;
}

std::int64_t ToMilliseconds(base::duration length) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(length).count();
}

std::string EncodeEngineBody(const attempt& request) {
  // The caller's body is validated JSON; it is inserted verbatim, so that it is
  // neither changed nor parsed again.
  std::string body = "{\"call\":" + request.body;
  body += ",\"priority\":" + std::to_string(request.priority);
  if (request.resume) {
    json::object resume;
    resume["offset"] = request.resume->offset;
    resume["text"] = request.resume->text;
    body += ",\"resume\":" + json::serialize(resume);
  }
  body += '}';
  return body;
}

}  // namespace

http_request EncodeAttempt(const attempt& request) {
  http_request message;
  message.method = request.method;
  message.target = request.target;
  message.content_type = request.content_type;
  message.body = request.stream ? EncodeEngineBody(request) : request.body;
  message.headers = {
      {std::string(kRequestHeader), request.request.str()},
      {std::string(kAttemptHeader), std::to_string(request.id.value())},
      {std::string(kReplicaHeader), request.replica.str()},
      {std::string(kEpochHeader), std::to_string(request.epoch.value())},
      {std::string(kTraceHeader), request.traceparent}};
  return message;
}

engine_call DecodeEngineCall(std::string_view body) {
  base::json_problems problems;
  const json::value value = ParseOrEmptyObject(body, problems);
  base::object_reader reader(value, "", problems);
  engine_call call;
  if (const json::value* caller_body = reader.Child("call", true))
    call.caller_body = json::serialize(*caller_body);
  call.priority = static_cast<int>(reader.Integer("priority", -1000, 1000, 0));
  if (const json::value* resume = reader.Child("resume")) {
    base::object_reader point(*resume, "resume", problems);
    call.resume.emplace();
    call.resume->offset = ReadCount(point, "offset");
    call.resume->text = point.String("text", "");
    point.Finish();
  }
  reader.Finish();
  ThrowIfInvalid("engine call", problems);
  return call;
}

std::string EncodeOrder(const order& request) {
  static constexpr const char* kKinds[] = {"join", "release", "drain",
                                           "adapters"};
  json::object object;
  object["id"] = request.id.value();
  object["kind"] = kKinds[static_cast<std::size_t>(request.kind)];
  object["instance"] = request.target.str();
  object["replica"] = request.replica.str();
  object["epoch"] = request.epoch.value();
  object["fencing_number"] = request.fencing_number.value();
  object["entry"] = request.entry.str();
  object["model"] = request.model;
  object["version"] = request.version;
  json::array adapters;
  for (const std::string& adapter : request.adapters)
    adapters.emplace_back(adapter);
  object["adapters"] = std::move(adapters);
  object["members"] = ToJsonArray(request.members);
  object["validity_ms"] = ToMilliseconds(request.validity);
  return json::serialize(object);
}

order DecodeOrder(std::string_view body) {
  base::json_problems problems;
  const json::value value = ParseOrEmptyObject(body, problems);
  base::object_reader reader(value, "", problems);
  order request;
  request.id = order_id(ReadCount(reader, "id"));
  request.kind = static_cast<order_kind>(
      reader.Choice("kind", {"join", "release", "drain", "adapters"}));
  request.target = base::instance_id(reader.String("instance"));
  request.replica = base::replica_id(reader.String("replica", ""));
  request.epoch = base::epoch(ReadCount(reader, "epoch"));
  request.fencing_number = base::revision(ReadCount(reader, "fencing_number"));
  request.entry = base::entry_name(reader.String("entry", ""));
  request.model = reader.String("model", "");
  request.version = reader.String("version", "");
  request.adapters = reader.Strings("adapters");
  for (std::string& member : reader.Strings("members"))
    request.members.emplace_back(std::move(member));
  request.validity =
      reader.Milliseconds("validity_ms", std::chrono::milliseconds(0),
                          kMaxValidity, std::chrono::milliseconds(0));
  reader.Finish();
  ThrowIfInvalid("order", problems);
  return request;
}

std::string EncodeReport(const report& state) {
  static constexpr const char* kStates[] = {"idle", "loading", "ready",
                                            "draining", "failed"};
  json::object object;
  object["instance"] = state.instance.str();
  object["replica"] = state.replica.str();
  object["epoch"] = state.epoch.value();
  object["state"] = kStates[static_cast<std::size_t>(state.state)];
  object["entry"] = state.entry.str();
  object["version"] = state.version;
  object["leaving"] = state.leaving;
  object["running"] = state.load.running;
  object["queued"] = state.load.queued;
  object["cache_used"] = state.load.cache_used;
  object["sequence"] = state.sequence;
  object["age_ms"] = ToMilliseconds(state.age);
  return json::serialize(object);
}

report DecodeReport(std::string_view body, const base::instance_id& sender) {
  constexpr std::int64_t kMaxRequests = 1'000'000;
  base::json_problems problems;
  const json::value value = ParseOrEmptyObject(body, problems);
  base::object_reader reader(value, "", problems);
  report state;
  state.instance = base::instance_id(reader.String("instance"));
  if (state.instance != sender)
    reader.Report("instance", "must be " + sender.str());
  state.replica = base::replica_id(reader.String("replica", ""));
  state.epoch = base::epoch(ReadCount(reader, "epoch"));
  state.state = static_cast<member_state>(reader.Choice(
      "state", {"idle", "loading", "ready", "draining", "failed"}));
  state.entry = base::entry_name(reader.String("entry", ""));
  state.version = reader.String("version", "");
  state.leaving = reader.Boolean("leaving", false);
  state.load.running =
      static_cast<int>(reader.Integer("running", 0, kMaxRequests, 0));
  state.load.queued =
      static_cast<int>(reader.Integer("queued", 0, kMaxRequests, 0));
  state.load.cache_used = reader.Number("cache_used", 0, 1, 0);
  state.sequence = ReadCount(reader, "sequence");
  state.age = reader.Milliseconds("age_ms", std::chrono::milliseconds(0),
                                  kMaxAge, std::chrono::milliseconds(0));
  reader.Finish();
  ThrowIfInvalid("report", problems);
  return state;
}

order_outcome ToOrderOutcome(int status) {
  if (status >= 200 && status < 300)
    return order_outcome::kAccepted;
  if (status == kHttpConflict)
    return order_outcome::kStale;
  if (status == kHttpServiceUnavailable || (status >= 400 && status < 500))
    return order_outcome::kRefused;
  return order_outcome::kUnknown;
}

std::string EncodeChunk(std::uint64_t offset,
                        std::uint64_t token_count,
                        std::string_view text) {
  std::string line = "data: {\"offset\":" + std::to_string(offset) +
                     ",\"tokens\":" + std::to_string(token_count) +
                     ",\"text\":";
  line += json::serialize(json::string(text.data(), text.size()));
  line += "}\n\n";
  return line;
}

std::string EncodeEnd(std::uint64_t total, std::string_view finish_reason) {
  json::object end;
  end["total"] = total;
  end["finish_reason"] =
      json::string(finish_reason.data(), finish_reason.size());
  return "data: " + json::serialize(json::object{{"end", end}}) + "\n\n";
}

std::vector<stream_event> stream_parser::Parse(std::string_view bytes) {
  std::vector<stream_event> events;
  buffer_.append(bytes);
  std::size_t start = 0;
  for (auto end = buffer_.find('\n'); end != std::string::npos;
       end = buffer_.find('\n', start)) {
    std::string_view line(buffer_.data() + start, end - start);
    start = end + 1;
    if (line.starts_with(kDataPrefix))
      events.push_back(ParseData(line.substr(kDataPrefix.size())));
  }
  buffer_.erase(0, start);
  if (buffer_.size() > kMaxEventBytes)
    throw malformed_message("stream event: longer than " +
                            std::to_string(kMaxEventBytes) + " bytes");
  return events;
}

stream_event stream_parser::ParseData(std::string_view text) {
  if (ended_)
    throw malformed_message("stream event after the end: " +
                            std::string(text.substr(0, 80)));
  base::json_problems problems;
  const json::value value = ParseOrEmptyObject(text, problems);
  base::object_reader reader(value, "", problems);
  if (const json::value* end = reader.Child("end")) {
    base::object_reader fields(*end, "end", problems);
    answer_end end_event{attempt_, ReadCount(fields, "total"),
                         fields.String("finish_reason", "")};
    ThrowIfInvalid("stream event", problems);
    ended_ = true;
    return end_event;
  }
  answer_chunk chunk{attempt_, ReadCount(reader, "offset"),
                     ReadCount(reader, "tokens"), reader.String("text", "")};
  ThrowIfInvalid("stream event", problems);
  return chunk;
}

}  // namespace flamingoshunt::endpoint
