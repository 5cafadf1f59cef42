#include "runtime/request_reader.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <utility>

namespace flamingoshunt::runtime {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;

// The request itself, and the copy that is sent.
constexpr std::size_t kCopies = 2;
// Of a header field beside its bytes: the parser's list and tree of fields.
constexpr std::size_t kFieldBytes = 112;
constexpr std::size_t kFirstBodyBytes = 1024;
// A chunk of one byte has five or six bytes of framing.
constexpr std::size_t kFramingPerBodyByte = 16;

// The parser takes a request in an encoding that it doesn't know for one
// without a body, and the body for the next request.
template <class Request>
bool HasUnknownEncoding(const Request& request) {
  const auto fields = request.equal_range(http::field::transfer_encoding);
  return fields.first != fields.second &&
         (std::next(fields.first) != fields.second ||
          !beast::iequals(fields.first->value(), "chunked"));
}

}  // namespace

request_reader::request_reader(const request_limits& limits) : limits_(limits) {
  parser_.header_limit(static_cast<std::uint32_t>(limits.header_bytes));
  parser_.body_limit(limits.body_bytes);
  parser_.eager(true);
}

// Doubling keeps copies few; the old and the new string together stay below
// the copies that are counted.
std::size_t request_reader::BodyCapacity(std::size_t buffered) const {
  const std::string& body = parser_.get().body();
  const std::size_t needed = body.size() + buffered;
  if (!has_header() || needed <= body.capacity())
    return body.capacity();
  const auto announced = parser_.content_length();
  const std::size_t longest = std::min<std::uint64_t>(
      limits_.body_bytes, announced.value_or(limits_.body_bytes));
  return std::max(
      {kFirstBodyBytes, needed, std::min(2 * body.capacity(), longest)});
}

std::size_t request_reader::BytesToParse(std::size_t buffered) const {
  return held() +
         kCopies * (BodyCapacity(buffered) - parser_.get().body().capacity());
}

std::size_t request_reader::held() const {
  const std::size_t header = has_header() ? header_bytes_ : parsed_;
  return kCopies * (header + field_count_ * kFieldBytes +
                    parser_.get().body().capacity());
}

// A string's own growth is at least a doubling.
void request_reader::MakeRoom(std::size_t buffered) {
  std::string& body = parser_.get().body();
  const std::size_t capacity = BodyCapacity(buffered);
  if (capacity == body.capacity())
    return;
  std::string larger;
  larger.reserve(capacity);
  larger = body;
  body = std::move(larger);
}

void request_reader::Parse(beast::flat_buffer& buffer) {
  const bool counts_fields = !has_header();
  MakeRoom(buffer.size());
  beast::error_code error;
  while (!done_ && !error && buffer.size() > 0) {
    const bool had_header = has_header();
    const std::size_t used = parser_.put(buffer.data(), error);
    buffer.consume(used);
    parsed_ += used;
    done_ = !error && parser_.is_done();
    if (!had_header && has_header())
      header_bytes_ = parsed_ - parser_.get().body().size();
    if (used == 0)
      break;
  }
  // A trailer adds fields.
  if (counts_fields || done_)
    field_count_ = static_cast<std::size_t>(
        std::distance(parser_.get().begin(), parser_.get().end()));
  if (error && error != http::error::need_more)
    CheckParser(error);
  else
    CheckBounds(buffer.size());
}

void request_reader::CheckParser(const beast::error_code& error) {
  if (error == http::error::header_limit)
    Fail(431, error.message(), std::nullopt);
  else
    Fail(error == http::error::body_limit ? 413 : 400, error.message(),
         std::nullopt);
}

// What is not parsed behind the header is a chunk's header or the trailer,
// which the parser takes only whole.
void request_reader::CheckBounds(std::size_t unparsed) {
  if (done_) {
    if (HasUnknownEncoding(parser_.get()))
      Fail(400, "bad transfer encoding", std::nullopt);
    return;
  }
  if (!has_header())
    return;
  if (unparsed > limits_.header_bytes) {
    Fail(431, "trailer or chunk header above the bound",
         bound_event::kFramingRefused);
    return;
  }
  const std::size_t body = parser_.get().body().size();
  const std::size_t framing = parsed_ - std::min(parsed_, header_bytes_ + body);
  if (framing > limits_.header_bytes + kFramingPerBodyByte * body)
    Fail(400, "too much framing around too few bytes",
         bound_event::kFramingRefused);
}

void request_reader::Fail(int status,
                          std::string detail,
                          std::optional<bound_event> event) {
  done_ = false;
  error_ = request_error{status, std::move(detail), event};
}

http_request request_reader::Release() {
  auto parsed = parser_.release();
  http_request request(std::move(parsed.base()));
  request.body() = std::move(parsed.body());
  return request;
}

}  // namespace flamingoshunt::runtime
