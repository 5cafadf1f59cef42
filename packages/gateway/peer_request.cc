#include "gateway/peer_request.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <charconv>
#include <sstream>

#include "base/milliseconds.h"

namespace flamingoshunt::gateway {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr char kTarget[] = "/peer/request";
constexpr char kElapsed[] = "Peer-Elapsed-Ms";
constexpr char kConfiguration[] = "Peer-Configuration";
constexpr char kAttempts[] = "Peer-Attempts";
constexpr char kResumeAfter[] = "Peer-Resume-After";
constexpr char kBegun[] = "Peer-Begun";
// No request lives longer, or is tried more often.
constexpr std::uint64_t kMaxElapsedMs = 3'600'000;
constexpr std::uint64_t kMaxAttempts = 1000;

std::optional<std::uint64_t> NumberIn(const runtime::http_request& message,
                                      const char* field) {
  const auto text = message[field];
  std::uint64_t value = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, value);
  if (text.empty() || parsed.ec != std::errc() || parsed.ptr != end)
    return std::nullopt;
  return value;
}

}  // namespace

runtime::http_request EncodePeerRequest(const peer_request& passed,
                                        const std::string& address) {
  runtime::http_request whole = passed.request;
  if (whole.chunked()) {
    whole.chunked(false);
    whole.content_length(whole.body().size());
  }
  std::ostringstream text;
  text << whole;
  runtime::http_request message = runtime::MakeRequest(
      "POST", kTarget, address, text.str(), "application/http");
  message.set(kElapsed, std::to_string(std::max<std::int64_t>(
                            0, base::WholeMilliseconds(passed.elapsed))));
  message.set(kConfiguration, std::to_string(passed.configuration));
  message.set(kAttempts, std::to_string(std::max(0, passed.attempts)));
  if (passed.resume_after)
    message.set(kResumeAfter, std::to_string(*passed.resume_after));
  if (passed.has_begun)
    message.set(kBegun, "1");
  return message;
}

std::optional<peer_request> DecodePeerRequest(
    const runtime::http_request& message) {
  const auto elapsed = NumberIn(message, kElapsed);
  const auto configuration = NumberIn(message, kConfiguration);
  const auto attempts = NumberIn(message, kAttempts);
  if (message.target() != kTarget || !configuration ||
      elapsed.value_or(kMaxElapsedMs + 1) > kMaxElapsedMs ||
      attempts.value_or(kMaxAttempts + 1) > kMaxAttempts)
    return std::nullopt;
  http::request_parser<http::string_body> parser;
  parser.eager(true);
  parser.header_limit(static_cast<std::uint32_t>(kPeerRequestOverhead));
  parser.body_limit(message.body().size());
  beast::error_code error;
  const std::size_t read =
      parser.put(boost::asio::buffer(message.body()), error);
  if (error || !parser.is_done() || read != message.body().size())
    return std::nullopt;
  peer_request passed;
  passed.request = parser.release();
  passed.elapsed = std::chrono::milliseconds(*elapsed);
  passed.configuration = *configuration;
  passed.attempts = static_cast<int>(*attempts);
  passed.resume_after = NumberIn(message, kResumeAfter);
  passed.has_begun = message[kBegun] == "1";
  return passed;
}

bool IsPeerRefusal(const runtime::http_response_head& head) {
  return std::any_of(head.fields.begin(), head.fields.end(),
                     [](const auto& field) {
                       return beast::iequals(field.first, kPeerRefusal);
                     });
}

}  // namespace flamingoshunt::gateway
