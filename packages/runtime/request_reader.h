// Defines how a request is read from bytes as they arrive: it is parsed
// without a socket, says what it makes the process hold before it holds more,
// and bounds what a parser can't use yet.
#ifndef FLAMINGOSHUNT_RUNTIME_REQUEST_READER_H_
#define FLAMINGOSHUNT_RUNTIME_REQUEST_READER_H_

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstddef>
#include <optional>
#include <string>

#include "runtime/memory_budget.h"

namespace flamingoshunt::runtime {

using http_request =
    boost::beast::http::request<boost::beast::http::string_body>;

struct request_limits {
  std::size_t header_bytes = 16 * 1024;  ///< Also of a trailer.
  std::size_t body_bytes = 4 * 1024 * 1024;
};

/// Why a request can't be served.
struct request_error {
  int status = 0;  ///< 400, 413 or 431.
  std::string detail;
  std::optional<bound_event> event;
};

/// A body in a string that grows only as its bytes arrive, not by the length
/// that was announced.
struct arriving_body : boost::beast::http::string_body {
  class reader : public boost::beast::http::string_body::reader {
   public:
    using boost::beast::http::string_body::reader::reader;
    void init(const boost::optional<std::uint64_t>&,
              boost::beast::error_code& error) {
      error = {};
    }
  };
};

class request_reader {
 public:
  explicit request_reader(const request_limits& limits);

  /// @return what this would hold with room for @p buffered bytes more.
  std::size_t BytesToParse(std::size_t buffered) const;

  /// Parses what @p buffer has, and removes it from there. What is left is the
  /// beginning of a part that isn't complete, or of another request.
  void Parse(boost::beast::flat_buffer& buffer);

  bool is_done() const { return done_; }
  bool has_header() const { return parser_.is_header_done(); }
  const std::optional<request_error>& error() const { return error_; }

  /// @return the bytes parsed so far.
  std::size_t parsed() const { return parsed_; }

  /// @return what the request makes the process hold until it has its answer:
  ///         twice its size, since it is copied to be sent to a replica.
  std::size_t held() const;

  /// @return the request; once, when it is done.
  http_request Release();

 private:
  std::size_t BodyCapacity(std::size_t buffered) const;
  void MakeRoom(std::size_t buffered);
  void Fail(int status, std::string detail, std::optional<bound_event> event);
  void CheckBounds(std::size_t unparsed);
  void CheckParser(const boost::beast::error_code& error);

  request_limits limits_;
  boost::beast::http::request_parser<arriving_body> parser_;
  std::size_t parsed_ = 0;
  std::size_t header_bytes_ = 0;
  std::size_t field_count_ = 0;
  bool done_ = false;
  std::optional<request_error> error_;
};

}  // namespace flamingoshunt::runtime

#endif  // FLAMINGOSHUNT_RUNTIME_REQUEST_READER_H_
