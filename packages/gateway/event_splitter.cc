#include "gateway/event_splitter.h"

#include <algorithm>
#include <charconv>

namespace flamingoshunt::gateway {
namespace {

// @return the end of the first blank line of @p text, or npos.
std::size_t EndOfEvent(std::string_view text) {
  const auto plain = text.find("\n\n");
  const auto carriage = text.find("\r\n\r\n");
  if (plain == std::string_view::npos && carriage == std::string_view::npos)
    return std::string_view::npos;
  return plain < carriage ? plain + 2 : carriage + 4;
}

std::optional<std::uint64_t> IdOf(std::string_view event) {
  for (std::size_t start = 0; start < event.size();) {
    const auto end = std::min(event.find('\n', start), event.size());
    std::string_view line = event.substr(start, end - start);
    start = end + 1;
    if (line.substr(0, 3) != "id:")
      continue;
    line.remove_prefix(3);
    while (!line.empty() && line.front() == ' ')
      line.remove_prefix(1);
    std::uint64_t id = 0;
    const auto parsed =
        std::from_chars(line.data(), line.data() + line.size(), id);
    if (parsed.ec == std::errc())
      return id;
  }
  return std::nullopt;
}

}  // namespace

std::string event_splitter::Feed(std::string_view bytes) {
  rest_ += bytes;
  std::string out;
  std::size_t start = 0;
  while (true) {
    const std::string_view left = std::string_view(rest_).substr(start);
    const auto end = EndOfEvent(left);
    if (end == std::string_view::npos)
      break;
    Take(left.substr(0, end), out);
    start += end;
  }
  rest_.erase(0, start);
  return out;
}

void event_splitter::Take(std::string_view event, std::string& out) {
  const auto id = IdOf(event);
  if (id && last_id_) {
    if (*id <= *last_id_)
      return;
    if (*id > *last_id_ + 1)
      gap_ = true;
  }
  if (gap_)
    return;
  if (id)
    last_id_ = id;
  ++events_;
  out += event;
}

}  // namespace flamingoshunt::gateway
