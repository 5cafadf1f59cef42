#include "store/http_codec.h"

#include <boost/algorithm/string/predicate.hpp>

#include <charconv>
#include <limits>
#include <optional>

#include "base/checked_json.h"

namespace flamingoshunt::store {
namespace {

constexpr std::string_view kObjects = "/v1/objects/";
constexpr std::string_view kWatch = "/v1/watch/";
constexpr std::string_view kAfter = "?after=";
constexpr std::int64_t kMaxRevision = std::numeric_limits<std::int64_t>::max();

bool IsUnreserved(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
}

std::string PercentEncoded(std::string_view text) {
  constexpr char kDigits[] = "0123456789ABCDEF";
  std::string encoded;
  for (const char c : text) {
    if (IsUnreserved(c)) {
      encoded.push_back(c);
      continue;
    }
    const auto byte = static_cast<unsigned char>(c);
    encoded.push_back('%');
    encoded.push_back(kDigits[byte >> 4]);
    encoded.push_back(kDigits[byte & 15]);
  }
  return encoded;
}

std::string PercentDecoded(std::string_view text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '%') {
      decoded.push_back(text[i]);
      continue;
    }
    unsigned byte = 0;
    const char* start = text.data() + i + 1;
    const bool long_enough = i + 2 < text.size();
    if (!long_enough ||
        std::from_chars(start, start + 2, byte, 16).ptr != start + 2)
      throw malformed_message("percent sign without two digits in " +
                              std::string(text));
    decoded.push_back(static_cast<char>(byte));
    i += 2;
  }
  return decoded;
}

std::optional<base::revision> ParseRevision(std::string_view text) {
  std::uint64_t value = 0;
  const auto* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, value);
  if (text.empty() || result.ec != std::errc() || result.ptr != end)
    return std::nullopt;
  return base::revision(value);
}

std::optional<base::revision> ParseETag(std::string_view text) {
  if (text.size() < 2 || text.front() != '"' || text.back() != '"')
    return std::nullopt;
  return ParseRevision(text.substr(1, text.size() - 2));
}

std::string ETagOf(base::revision version) {
  return '"' + std::to_string(version.value()) + '"';
}

std::string TargetOf(const object_key& key) {
  std::string target = std::string(kObjects) + PercentEncoded(key.kind);
  if (!key.name.empty())
    target += '/' + PercentEncoded(key.name);
  return target;
}

object_key KeyOf(std::string_view target) {
  if (!target.starts_with(kObjects))
    throw malformed_message("unknown target " + std::string(target));
  target.remove_prefix(kObjects.size());
  const auto slash = target.find('/');
  object_key key;
  key.kind = PercentDecoded(target.substr(0, slash));
  if (slash != std::string_view::npos)
    key.name = PercentDecoded(target.substr(slash + 1));
  if (key.kind.empty() || (slash != std::string_view::npos && key.name.empty()))
    throw malformed_message("kind or name is empty in the target");
  return key;
}

base::revision RequiredMatch(const http_request& message) {
  const auto text = HeaderValue(message.headers, kIfMatch);
  const auto version = ParseETag(text);
  if (!version)
    throw malformed_message("If-Match: " + std::string(text) +
                            ": must be a revision in double quotes");
  return *version;
}

int StatusOf(const call& request, call_outcome outcome) {
  switch (outcome) {
    case call_outcome::kOk:
      return request.op == operation::kCreate ? 201 : 200;
    case call_outcome::kNotFound:
      return 404;
    case call_outcome::kConflict:
      return 412;
    case call_outcome::kInvalid:
      return 400;
    case call_outcome::kUnavailable:
      return 503;
    case call_outcome::kUnknown:
      return 504;
  }
  return 500;
}

// Anything not named here leaves a write unknown.
std::optional<call_outcome> OutcomeOf(int status) {
  switch (status) {
    case 200:
    case 201:
      return call_outcome::kOk;
    case 404:
      return call_outcome::kNotFound;
    case 412:
      return call_outcome::kConflict;
    case 400:
    case 413:
      return call_outcome::kInvalid;
    case 429:
    case 503:
      return call_outcome::kUnavailable;
    default:
      return std::nullopt;
  }
}

boost::json::object ObjectJson(const object& item) {
  return {{"name", item.key.name},
          {"version", item.version.value()},
          {"value", item.value}};
}

object ParseObject(const boost::json::value& json,
                   const std::string& kind,
                   const std::string& path,
                   base::json_problems& problems) {
  base::object_reader reader(json, path, problems);
  object item;
  item.key.kind = kind;
  item.key.name = reader.String("name");
  item.version = base::revision(
      static_cast<std::uint64_t>(reader.Integer("version", 0, kMaxRevision)));
  item.value = reader.String("value", "");
  reader.Finish();
  return item;
}

// Fills the listed objects; false when the body is not of the protocol.
bool ParseList(const call& request, const std::string& body, reply& answer) {
  base::json_problems problems;
  const auto json = base::ParseJson(body, problems);
  if (!json)
    return false;
  base::object_reader reader(*json, "", problems);
  reader.Each(
      "objects",
      [&](const boost::json::value& element, const std::string& path) {
        answer.listed.push_back(
            ParseObject(element, request.key.kind, path, problems));
      },
      true);
  reader.Finish();
  return problems.empty();
}

// Fills the current object; false when the response is not of the protocol.
bool ParseCurrent(const call& request,
                  const http_response& message,
                  reply& answer) {
  const auto version = ParseETag(HeaderValue(message.headers, kETag));
  const bool needed =
      answer.outcome == call_outcome::kOk && request.op != operation::kDelete;
  if (!version)
    return !needed;
  answer.current = object{request.key, *version, message.body};
  const bool own_write =
      answer.outcome == call_outcome::kOk && request.op != operation::kGet;
  if (own_write)
    answer.current->value = request.value;
  return true;
}

}  // namespace

std::string_view HeaderValue(const std::vector<http_header>& headers,
                             std::string_view name) {
  for (const http_header& header : headers) {
    if (boost::algorithm::iequals(header.name, name))
      return header.value;
  }
  return {};
}

http_request EncodeCall(const call& request) {
  http_request message;
  const bool list = request.op == operation::kList;
  message.target =
      TargetOf(list ? object_key{request.key.kind, ""} : request.key);
  const http_header if_match{std::string(kIfMatch), ETagOf(request.expected)};
  switch (request.op) {
    case operation::kGet:
    case operation::kList:
      message.method = "GET";
      break;
    case operation::kCreate:
      message.method = "PUT";
      message.headers.push_back({std::string(kIfNoneMatch), "*"});
      message.body = request.value;
      break;
    case operation::kUpdate:
      message.method = "PUT";
      message.headers.push_back(if_match);
      message.body = request.value;
      break;
    case operation::kDelete:
      message.method = "DELETE";
      message.headers.push_back(if_match);
      break;
  }
  return message;
}

call DecodeCall(const http_request& message) {
  call request;
  request.key = KeyOf(message.target);
  if (message.method == "GET") {
    request.op = request.key.name.empty() ? operation::kList : operation::kGet;
    return request;
  }
  if (request.key.name.empty())
    throw malformed_message(message.method + " without an object name");
  if (message.method == "DELETE") {
    request.op = operation::kDelete;
    request.expected = RequiredMatch(message);
    return request;
  }
  if (message.method != "PUT")
    throw malformed_message("method " + message.method +
                            ": must be GET, PUT or DELETE");
  request.value = message.body;
  if (HeaderValue(message.headers, kIfNoneMatch) == "*") {
    request.op = operation::kCreate;
    return request;
  }
  request.op = operation::kUpdate;
  request.expected = RequiredMatch(message);
  return request;
}

http_response EncodeReply(const call& request, const reply& answer) {
  http_response message;
  message.status = StatusOf(request, answer.outcome);
  message.headers.push_back({std::string(kStoreRevision),
                             std::to_string(answer.store_revision.value())});
  if (answer.outcome == call_outcome::kOk && request.op == operation::kList) {
    boost::json::array objects;
    for (const object& item : answer.listed)
      objects.push_back(ObjectJson(item));
    message.body =
        boost::json::serialize(boost::json::object{{"objects", objects}});
    return message;
  }
  if (!answer.current)
    return message;
  message.headers.push_back(
      {std::string(kETag), ETagOf(answer.current->version)});
  const bool tells_value = request.op == operation::kGet ||
                           answer.outcome == call_outcome::kConflict;
  if (tells_value)
    message.body = answer.current->value;
  return message;
}

reply ReplyWithoutResponse(const call& request, bool bytes_may_have_left) {
  const bool write =
      request.op != operation::kGet && request.op != operation::kList;
  reply answer;
  answer.id = request.id;
  answer.outcome = write && bytes_may_have_left ? call_outcome::kUnknown
                                                : call_outcome::kUnavailable;
  return answer;
}

reply DecodeReply(const call& request, const http_response& message) {
  const auto outcome = OutcomeOf(message.status);
  const auto revision =
      ParseRevision(HeaderValue(message.headers, kStoreRevision));
  if (!outcome)
    return ReplyWithoutResponse(request, true);
  reply answer;
  answer.id = request.id;
  answer.outcome = *outcome;
  if (*outcome == call_outcome::kUnavailable)
    return answer;
  // A response without a store revision comes from something in between.
  if (!revision)
    return ReplyWithoutResponse(request, true);
  answer.store_revision = *revision;
  const bool listing =
      request.op == operation::kList && *outcome == call_outcome::kOk;
  const bool good = listing ? ParseList(request, message.body, answer)
                            : ParseCurrent(request, message, answer);
  return good ? answer : ReplyWithoutResponse(request, true);
}

http_request EncodeWatch(const watch_request& request) {
  http_request message;
  message.method = "GET";
  message.target = std::string(kWatch) + PercentEncoded(request.kind) +
                   std::string(kAfter) + std::to_string(request.after.value());
  return message;
}

bool IsWatch(const http_request& message) {
  return message.target.starts_with(kWatch);
}

watch_request DecodeWatch(const http_request& message) {
  std::string_view rest = message.target;
  const auto query = rest.find(kAfter);
  const bool fits = message.method == "GET" && IsWatch(message) &&
                    query != std::string_view::npos;
  const auto after =
      fits ? ParseRevision(rest.substr(query + kAfter.size())) : std::nullopt;
  if (!after)
    throw malformed_message(message.method + " " + message.target +
                            ": must be GET /v1/watch/{kind}?after={revision}");
  watch_request request;
  request.kind =
      PercentDecoded(rest.substr(kWatch.size(), query - kWatch.size()));
  request.after = *after;
  return request;
}

std::string EncodeWatchEvent(const watch_event& event) {
  constexpr std::string_view kNames[] = {"put", "delete", "bookmark", "gap"};
  boost::json::object json;
  const auto name = kNames[static_cast<std::size_t>(event.kind)];
  json["event"] = boost::json::string(name.data(), name.size());
  json["revision"] = event.changed.version.value();
  if (!event.changed.key.name.empty())
    json["name"] = event.changed.key.name;
  if (event.kind == watch_event_kind::kPut)
    json["value"] = event.changed.value;
  return boost::json::serialize(json);
}

watch_event DecodeWatchEvent(const watch_request& request,
                             std::string_view line) {
  base::json_problems problems;
  const auto json = base::ParseJson(line, problems);
  if (!json)
    throw malformed_message("watch event: " + problems.front().Text());
  base::object_reader reader(*json, "", problems);
  watch_event event;
  event.id = request.id;
  event.kind = static_cast<watch_event_kind>(
      reader.Choice("event", {"put", "delete", "bookmark", "gap"}));
  event.changed.key.kind = request.kind;
  event.changed.version = base::revision(
      static_cast<std::uint64_t>(reader.Integer("revision", 0, kMaxRevision)));
  event.changed.key.name = reader.String("name", "");
  event.changed.value = reader.String("value", "");
  reader.Finish();
  const bool needs_name = event.kind == watch_event_kind::kPut ||
                          event.kind == watch_event_kind::kDelete;
  if (needs_name && event.changed.key.name.empty())
    reader.Report("name", "is required for put and delete");
  if (!problems.empty())
    throw malformed_message("watch event: " + problems.front().Text());
  return event;
}

}  // namespace flamingoshunt::store
