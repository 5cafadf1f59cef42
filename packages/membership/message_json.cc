#include "membership/message_json.h"

#include <array>
#include <charconv>

#include "base/checked_json.h"
#include "membership/limits.h"

namespace flamingoshunt::membership {
namespace {

using base::json_problems;
using base::object_reader;
using boost::json::array;
using boost::json::object;
using boost::json::value;

constexpr std::array<const char*, 5> kMethods = {"ping", "indirect_ping",
                                                 "gossip", "sync", "exchange"};
constexpr std::array<const char*, 4> kStates = {"alive", "suspect", "dead",
                                                "left"};
constexpr std::int64_t kMaxNumber = std::int64_t{1} << 62;
constexpr std::size_t kHex64 = 16;  // digits
constexpr std::size_t kHex32 = 8;   // digits

std::string Hex(std::uint64_t number, std::size_t digits) {
  constexpr char kDigits[] = "0123456789abcdef";
  std::string text(digits, '0');
  for (std::size_t at = digits; at-- > 0; number >>= 4)
    text[at] = kDigits[number & 15];
  return text;
}

std::optional<std::uint64_t> ParseHex(std::string_view text) {
  std::uint64_t number = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number, 16);
  if (text.empty() || parsed.ec != std::errc() || parsed.ptr != end)
    return std::nullopt;
  return number;
}

value MemberJson(const peer& member) {
  return object{{"id", member.id.str()},
                {"incarnation", member.incarnation},
                {"address", member.address},
                {"failure_domain", member.failure_domain.str()},
                {"region", member.region.str()},
                {"state", kStates[static_cast<std::size_t>(member.state)]}};
}

value ItemJson(const item& each) {
  return object{{"topic", each.topic},
                {"key", each.key},
                {"origin", each.origin.str()},
                {"version", each.version},
                {"value", each.value}};
}

void AddUpdates(const updates& carried, object& body) {
  array members;
  for (const peer& member : carried.members)
    members.push_back(MemberJson(member));
  if (!members.empty())
    body["members"] = std::move(members);
  array items;
  for (const item& each : carried.items)
    items.push_back(ItemJson(each));
  if (!items.empty())
    body["items"] = std::move(items);
}

struct request_writer {
  object operator()(const ping& message) const {
    object body{{"digest", Hex(message.digest, kHex64)}};
    AddUpdates(message.carried, body);
    return body;
  }
  object operator()(const indirect_ping& message) const {
    return {{"target", MemberJson(message.target)}};
  }
  object operator()(const gossip& message) const {
    object body;
    if (message.range)
      body["range"] = object{{"region", message.range->region.str()},
                             {"first", Hex(message.range->first, kHex64)},
                             {"last", Hex(message.range->last, kHex64)}};
    AddUpdates(message.carried, body);
    return body;
  }
  object operator()(const sync& message) const {
    std::string text;
    for (const std::uint32_t bucket : message.buckets)
      text += Hex(bucket, kHex32);
    return {{"buckets", text}};
  }
  object operator()(const exchange& message) const {
    object body;
    AddUpdates(message.offered, body);
    array wanted;
    for (const record_id id : message.wanted)
      wanted.push_back(value(Hex(id.value(), kHex64)));
    if (!wanted.empty())
      body["wanted"] = std::move(wanted);
    return body;
  }
};

value StampJson(const record_stamp& stamp) {
  object written{{"id", Hex(stamp.id.value(), kHex64)},
                 {"version", stamp.version}};
  if (stamp.gone)
    written["gone"] = true;
  return written;
}

struct answer_writer {
  object operator()(const ack& message) const {
    object body{{"digest", Hex(message.digest, kHex64)}};
    AddUpdates(message.carried, body);
    return body;
  }
  object operator()(const indirect_ack& message) const {
    object body{{"reached", message.reached}};
    AddUpdates(message.carried, body);
    return body;
  }
  object operator()(const accepted&) const { return {{"accepted", true}}; }
  object operator()(const sync_answer& message) const {
    array buckets(message.buckets.begin(), message.buckets.end());
    array stamps;
    for (const record_stamp& stamp : message.stamps)
      stamps.push_back(StampJson(stamp));
    object body{{"buckets", std::move(buckets)}, {"stamps", std::move(stamps)}};
    if (message.more)
      body["more"] = true;
    return body;
  }
  object operator()(const exchange_answer& message) const {
    object body{{"exchanged", true}};
    AddUpdates(message.carried, body);
    return body;
  }
  object operator()(const counter_behind& message) const {
    return {{"counter_behind", message.highest}};
  }
};

std::string ReadName(object_reader& reader, std::string_view key) {
  std::string name = reader.String(key);
  if (name.size() > kMaxNameLength)
    reader.Report(key, "must have at most 255 bytes");
  return name;
}

std::uint64_t ReadNumber(object_reader& reader, std::string_view key) {
  return static_cast<std::uint64_t>(reader.Integer(key, 0, kMaxNumber));
}

std::uint64_t ReadHex(object_reader& reader, std::string_view key) {
  const std::string text = reader.String(key);
  const auto number =
      text.size() == kHex64 ? ParseHex(text) : std::optional<std::uint64_t>();
  if (!number)
    reader.Report(key, "must be 16 hexadecimal digits");
  return number.value_or(0);
}

peer ReadMember(const value& json, std::string path, json_problems& problems) {
  object_reader reader(json, std::move(path), problems);
  peer member;
  member.id = base::node_id(ReadName(reader, "id"));
  member.incarnation = ReadNumber(reader, "incarnation");
  member.address = ReadName(reader, "address");
  member.failure_domain =
      base::failure_domain_id(ReadName(reader, "failure_domain"));
  member.region = base::region_id(ReadName(reader, "region"));
  member.state = static_cast<peer_state>(
      reader.Choice("state", {"alive", "suspect", "dead", "left"}));
  return member;
}

item ReadItem(const value& json, std::string path, json_problems& problems) {
  object_reader reader(json, std::move(path), problems);
  item read;
  read.topic = ReadName(reader, "topic");
  read.key = reader.String("key", "");
  read.origin = base::node_id(ReadName(reader, "origin"));
  read.version = ReadNumber(reader, "version");
  read.value = reader.String("value", "");
  if (read.key.size() > kMaxNameLength)
    reader.Report("key", "must have at most 255 bytes");
  if (read.value.size() > kMaxItemValue)
    reader.Report("value", "must have at most 4096 bytes");
  return read;
}

updates ReadUpdates(object_reader& reader, json_problems& problems) {
  updates carried;
  reader.Each("members", [&](const value& json, const std::string& path) {
    carried.members.push_back(ReadMember(json, path, problems));
  });
  reader.Each("items", [&](const value& json, const std::string& path) {
    carried.items.push_back(ReadItem(json, path, problems));
  });
  return carried;
}

request ReadPing(object_reader& reader, json_problems& problems) {
  return ping{ReadHex(reader, "digest"), ReadUpdates(reader, problems)};
}

request ReadIndirectPing(object_reader& reader, json_problems& problems) {
  const value* target = reader.Child("target", true);
  if (!target)
    return indirect_ping{};
  return indirect_ping{ReadMember(*target, "target", problems)};
}

request ReadGossip(object_reader& reader, json_problems& problems) {
  gossip message;
  if (const value* json = reader.Child("range")) {
    object_reader range(*json, "range", problems);
    message.range = node_range{base::region_id(ReadName(range, "region")),
                               ReadHex(range, "first"), ReadHex(range, "last")};
  }
  message.carried = ReadUpdates(reader, problems);
  return message;
}

request ReadSync(object_reader& reader, json_problems&) {
  const std::string text = reader.String("buckets");
  sync message;
  bool good = text.size() == kDigestBuckets * kHex32;
  for (std::size_t at = 0; good && at < kDigestBuckets; ++at) {
    const auto bucket =
        ParseHex(std::string_view(text).substr(at * kHex32, kHex32));
    good = bucket.has_value();
    message.buckets[at] = static_cast<std::uint32_t>(bucket.value_or(0));
  }
  if (!good)
    reader.Report("buckets", "must be 512 hexadecimal digits");
  return message;
}

request ReadExchange(object_reader& reader, json_problems& problems) {
  exchange message;
  message.offered = ReadUpdates(reader, problems);
  for (const std::string& text : reader.Strings("wanted")) {
    const auto id = ParseHex(text);
    if (!id || message.wanted.size() >= kMaxWanted) {
      reader.Report("wanted", "must be at most 128 hexadecimal numbers");
      break;
    }
    message.wanted.push_back(record_id(*id));
  }
  return message;
}

answer ReadSyncAnswer(object_reader& reader, json_problems& problems) {
  sync_answer message;
  reader.Each("buckets", [&](const value& json, const std::string& path) {
    const auto* number = json.if_int64();
    if (number && *number >= 0 && *number < std::int64_t{kDigestBuckets})
      message.buckets.push_back(static_cast<std::uint32_t>(*number));
    else
      problems.push_back({path, "(bucket)", "must be a number from 0 to 63"});
  });
  reader.Each("stamps", [&](const value& json, const std::string& path) {
    object_reader stamp(json, path, problems);
    message.stamps.push_back({record_id(ReadHex(stamp, "id")),
                              ReadNumber(stamp, "version"),
                              stamp.Boolean("gone", false)});
  });
  message.more = reader.Boolean("more", false);
  return message;
}

answer ReadAnswer(object_reader& reader, json_problems& problems) {
  if (reader.Has("counter_behind"))
    return counter_behind{ReadNumber(reader, "counter_behind")};
  if (reader.Has("stamps"))
    return ReadSyncAnswer(reader, problems);
  if (reader.Has("accepted"))
    return accepted{};
  if (reader.Has("reached"))
    return indirect_ack{reader.Boolean("reached", false),
                        ReadUpdates(reader, problems)};
  if (reader.Has("exchanged"))
    return exchange_answer{ReadUpdates(reader, problems)};
  return ack{ReadHex(reader, "digest"), ReadUpdates(reader, problems)};
}

using request_reader = request (*)(object_reader&, json_problems&);
constexpr std::array<request_reader, 5> kReaders = {
    ReadPing, ReadIndirectPing, ReadGossip, ReadSync, ReadExchange};

void ThrowIfAny(const json_problems& problems) {
  if (!problems.empty())
    throw peer_message_error(base::json_document_error(problems).what());
}

// Reads the document, with @p read taking it apart.
template <class Message, class Read>
Message ParseWith(std::string_view body, Read read) {
  json_problems problems;
  const auto json = base::ParseJson(body, problems);
  ThrowIfAny(problems);
  object_reader reader(*json, "", problems);
  Message message = read(reader, problems);
  ThrowIfAny(problems);
  return message;
}

}  // namespace

const char* MethodOf(const request& message) {
  return kMethods[message.index()];
}

std::string RequestBody(const request& message) {
  return boost::json::serialize(std::visit(request_writer{}, message));
}

std::string AnswerBody(const answer& message) {
  return boost::json::serialize(std::visit(answer_writer{}, message));
}

request ParseRequest(std::string_view method, std::string_view body) {
  for (std::size_t index = 0; index < kMethods.size(); ++index) {
    if (method == kMethods[index])
      return ParseWith<request>(body, kReaders[index]);
  }
  throw peer_message_error("method: " + std::string(method) + ": unknown");
}

answer ParseAnswer(std::string_view body) {
  return ParseWith<answer>(body, ReadAnswer);
}

}  // namespace flamingoshunt::membership
