#include "caller/header_fields.h"

#include <algorithm>
#include <charconv>

#include "caller/errors.h"

namespace flamingoshunt::caller {
namespace {

constexpr std::chrono::milliseconds kMaxDeadline = std::chrono::hours(24);
constexpr std::size_t kTraceparentSize = 55;  // characters

char ToLower(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

bool EqualIgnoringCase(std::string_view left, std::string_view right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                    [](char a, char b) { return ToLower(a) == ToLower(b); });
}

bool IsPrintable(std::string_view text) {
  return std::all_of(text.begin(), text.end(),
                     [](char c) { return c > ' ' && c < 127; });
}

bool IsLowerHex(std::string_view text) {
  return text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

bool IsTraceparent(std::string_view text) {
  return text.size() == kTraceparentSize && text.substr(0, 3) == "00-" &&
         text[35] == '-' && text[52] == '-' && IsLowerHex(text.substr(3, 32)) &&
         IsLowerHex(text.substr(36, 16)) && IsLowerHex(text.substr(53)) &&
         text.substr(3, 32).find_first_not_of('0') != std::string_view::npos;
}

}  // namespace

header_fields::header_fields(const std::vector<http_header>& headers)
    : headers_(headers) {
  if (headers.size() > kMaxHeaderFields)
    throw request_error(431, "headers_too_many",
                        std::to_string(headers.size()) + " header fields; " +
                            std::to_string(kMaxHeaderFields) + " are taken");
  std::size_t size = 0;
  for (const http_header& header : headers)
    size += header.name.size() + header.value.size();
  if (size > kMaxHeaderBytes)
    throw request_error(431, "headers_too_large",
                        std::to_string(size) + " bytes of header fields; " +
                            std::to_string(kMaxHeaderBytes) + " are taken");
}

std::optional<std::string_view> header_fields::Find(
    std::string_view name) const {
  std::optional<std::string_view> found;
  for (const http_header& header : headers_) {
    if (!EqualIgnoringCase(header.name, name))
      continue;
    if (found)
      throw request_error(400, "header_repeated",
                          std::string(name) + " is given more than once");
    found = header.value;
  }
  return found;
}

std::string_view header_fields::BearerKey() const {
  constexpr std::string_view kScheme = "Bearer ";
  const auto value = Find("Authorization");
  if (!value || value->size() <= kScheme.size() ||
      !EqualIgnoringCase(value->substr(0, kScheme.size()), kScheme))
    throw request_error(401, "key_missing",
                        "Authorization: Bearer <key> is required");
  return value->substr(kScheme.size());
}

std::optional<base::time_point> header_fields::Deadline(
    base::time_point received) const {
  const auto value = Find("X-Request-Deadline-Ms");
  if (!value)
    return std::nullopt;
  std::int64_t timeout_ms = 0;
  const auto [end, error] =
      std::from_chars(value->data(), value->data() + value->size(), timeout_ms);
  if (error != std::errc() || end != value->data() + value->size() ||
      timeout_ms < 1 || timeout_ms > kMaxDeadline.count())
    throw request_error(400, "deadline_invalid",
                        "X-Request-Deadline-Ms: " + std::string(*value) +
                            ": must be a whole number from 1 to " +
                            std::to_string(kMaxDeadline.count()));
  return received + std::chrono::milliseconds(timeout_ms);
}

std::string header_fields::IdempotencyKey() const {
  const auto value = Find("Idempotency-Key");
  if (!value)
    return {};
  if (value->empty() || value->size() > kMaxIdempotencyKeyLength ||
      !IsPrintable(*value))
    throw request_error(400, "idempotency_key_invalid",
                        "Idempotency-Key: must be 1 to " +
                            std::to_string(kMaxIdempotencyKeyLength) +
                            " printable characters without spaces");
  return std::string(*value);
}

std::string header_fields::EchoedId() const {
  const auto value = Find("X-Request-Id");
  if (!value || value->size() > kMaxEchoedIdLength || !IsPrintable(*value))
    return {};
  return std::string(*value);
}

std::string header_fields::Traceparent() const {
  const auto value = Find("traceparent");
  return value && IsTraceparent(*value) ? std::string(*value) : std::string();
}

bool header_fields::IsNonIdempotent() const {
  const auto value = Find("X-Non-Idempotent");
  return value && EqualIgnoringCase(*value, "true");
}

}  // namespace flamingoshunt::caller
