#include "delivery/claim_record.h"

#include <openssl/evp.h>

#include <array>
#include <cstdio>
#include <limits>

#include "base/checked_json.h"
#include "base/hash.h"

namespace flamingoshunt::delivery {
namespace {

namespace json = boost::json;
using std::chrono::milliseconds;

constexpr std::array<std::string_view, 4> kStates = {"claimed", "refused",
                                                     "done", "unknown"};
constexpr std::size_t kBucketDigits = 2;  // hexadecimal
constexpr std::int64_t kMaxInteger = std::numeric_limits<std::int64_t>::max();
// Later wall times overflow a count of nanoseconds.
constexpr std::int64_t kMaxMilliseconds = kMaxInteger / 1'000'000;

// An answer may contain any bytes; a JSON string may not.
std::string ToBase64(std::string_view data) {
  std::string text(4 * ((data.size() + 2) / 3) + 1, '\0');
  const int size =
      EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                      reinterpret_cast<const unsigned char*>(data.data()),
                      static_cast<int>(data.size()));
  text.resize(static_cast<std::size_t>(size));
  return text;
}

std::optional<std::string> FromBase64(std::string_view text) {
  if (text.size() % 4 != 0)
    return std::nullopt;
  if (text.empty())
    return std::string();
  std::string data(3 * (text.size() / 4), '\0');
  const int size =
      EVP_DecodeBlock(reinterpret_cast<unsigned char*>(data.data()),
                      reinterpret_cast<const unsigned char*>(text.data()),
                      static_cast<int>(text.size()));
  if (size < 0)
    return std::nullopt;
  // EVP_DecodeBlock counts padding as decoded bytes.
  std::size_t padding = 0;
  while (padding < 2 && text[text.size() - 1 - padding] == '=')
    ++padding;
  data.resize(static_cast<std::size_t>(size) - padding);
  return data;
}

std::int64_t ToMilliseconds(base::wall_time when) {
  return std::chrono::duration_cast<milliseconds>(when.time_since_epoch())
      .count();
}

base::wall_time FromMilliseconds(std::int64_t count) {
  return base::wall_time(milliseconds(count));
}

json::object EncodeAnswer(const stored_answer& answer) {
  json::object object;
  object["status"] = answer.status;
  object["content_type"] = answer.content_type;
  object["data"] = ToBase64(answer.data);
  object["total"] = answer.total;
  object["finish_reason"] = answer.finish_reason;
  return object;
}

std::optional<stored_answer> DecodeAnswer(const json::value& value,
                                          base::json_problems& problems) {
  base::object_reader reader(value, "answer", problems);
  stored_answer answer;
  answer.status = static_cast<int>(reader.Integer("status", 100, 999));
  answer.content_type = reader.String("content_type", "");
  answer.total =
      static_cast<std::uint64_t>(reader.Integer("total", 0, kMaxInteger));
  answer.finish_reason = reader.String("finish_reason", "");
  auto data = FromBase64(reader.String("data", ""));
  if (!data) {
    reader.Report("data", "must be base64");
    return std::nullopt;
  }
  answer.data = std::move(*data);
  return answer;
}

// Prefixes each part with its length, so that different lists of parts never
// produce the same text.
std::string JoinWithLengths(std::initializer_list<std::string_view> parts) {
  std::string text;
  for (const std::string_view part : parts) {
    text += std::to_string(part.size()) + ":";
    text += part;
  }
  return text;
}

}  // namespace

std::string MakeClaimKind(int bucket) {
  std::array<char, kBucketDigits + 1> digits{};
  std::snprintf(digits.data(), digits.size(), "%02x",
                static_cast<unsigned>(bucket) % kClaimBuckets);
  return std::string("claim-") + digits.data();
}

store::object_key MakeClaimKey(const caller::request& request) {
  const std::string hash = base::Sha256Hex(JoinWithLengths(
      {request.workspace.str(), request.entry.str(), request.idempotency_key}));
  return {"claim-" + hash.substr(0, kBucketDigits), hash};
}

std::string HashCall(const caller::request& request) {
  return base::Sha256Hex(
      JoinWithLengths({request.method, request.target, request.body}));
}

std::string EncodeClaim(const claim_record& record) {
  json::object object;
  object["token"] = record.token;
  object["call"] = record.call_hash;
  object["state"] = kStates[static_cast<std::size_t>(record.state)];
  object["created_ms"] = ToMilliseconds(record.created);
  object["expires_ms"] = ToMilliseconds(record.expires);
  if (record.answer)
    object["answer"] = EncodeAnswer(*record.answer);
  return json::serialize(object);
}

std::optional<claim_record> DecodeClaim(std::string_view text) {
  base::json_problems problems;
  const auto value = base::ParseJson(text, problems);
  if (!value)
    return std::nullopt;
  base::object_reader reader(*value, "", problems);
  claim_record record;
  record.token = reader.String("token");
  record.call_hash = reader.String("call");
  record.state = static_cast<claim_state>(
      reader.Choice("state", {kStates[0], kStates[1], kStates[2], kStates[3]}));
  record.created =
      FromMilliseconds(reader.Integer("created_ms", 0, kMaxMilliseconds));
  record.expires =
      FromMilliseconds(reader.Integer("expires_ms", 0, kMaxMilliseconds));
  if (const json::value* answer = reader.Child("answer"))
    record.answer = DecodeAnswer(*answer, problems);
  if (!problems.empty())
    return std::nullopt;
  return record;
}

}  // namespace flamingoshunt::delivery
