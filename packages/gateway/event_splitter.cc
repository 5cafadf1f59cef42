#include "gateway/event_splitter.h"

#include <algorithm>
#include <charconv>

namespace flamingoshunt::gateway {
namespace {

// An incomplete event above this is taken for bytes that never end.
constexpr std::size_t kMaxEventBytes = 256 * 1024;

// @return the position after the first blank line of @p text, or npos.
std::size_t FindEventEnd(std::string_view text) {
  const auto lf_pair = text.find("\n\n");
  const auto crlf_pair = text.find("\r\n\r\n");
  if (lf_pair == std::string_view::npos && crlf_pair == std::string_view::npos)
    return std::string_view::npos;
  return lf_pair < crlf_pair ? lf_pair + 2 : crlf_pair + 4;
}

std::optional<std::uint64_t> ParseEventId(std::string_view event) {
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

std::string event_splitter::Append(std::string_view bytes) {
  incomplete_event_ += bytes;
  std::string out;
  std::size_t start = 0;
  while (true) {
    const std::string_view remaining =
        std::string_view(incomplete_event_).substr(start);
    const auto end = FindEventEnd(remaining);
    if (end == std::string_view::npos)
      break;
    AcceptEvent(remaining.substr(0, end), out);
    start += end;
  }
  incomplete_event_.erase(0, start);
  return out;
}

bool event_splitter::exceeds_limit() const {
  return incomplete_event_.size() > kMaxEventBytes;
}

void event_splitter::AcceptEvent(std::string_view event, std::string& out) {
  const auto id = ParseEventId(event);
  if (id) {
    has_fallen_ = has_fallen_ || (previous_id_ && *id < *previous_id_);
    previous_id_ = id;
    if (last_id_ && *id <= *last_id_)
      return;
  }
  if (has_fallen_) {
    joins_runs_ = joins_runs_ || id;
    return;
  }
  if (id)
    last_id_ = id;
  ++event_count_;
  out += event;
}

}  // namespace flamingoshunt::gateway
