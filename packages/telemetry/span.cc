#include "telemetry/span.h"

#include <charconv>

namespace flamingoshunt::telemetry {
namespace {

constexpr std::size_t kHeaderLength = 55;     // characters of version 00
constexpr std::size_t kTraceAt = 3;           // offsets of the parts
constexpr std::size_t kSpanAt = 36;           //
constexpr std::size_t kFlagsAt = 53;          //
constexpr std::size_t kTraceLength = 32;      // hexadecimal digits
constexpr std::size_t kSpanLength = 16;       //
constexpr std::uint64_t kSampledFlag = 0x01;  // bit of the flags

bool IsLowerHex(std::string_view text) {
  return text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

// Expects digits only, at most 16 of them.
std::uint64_t HexNumber(std::string_view digits) {
  std::uint64_t number = 0;
  std::from_chars(digits.data(), digits.data() + digits.size(), number, 16);
  return number;
}

std::string Hex64(std::uint64_t number) {
  constexpr char kDigits[] = "0123456789abcdef";
  std::string text(kSpanLength, '0');
  for (std::size_t at = kSpanLength; at-- > 0; number >>= 4)
    text[at] = kDigits[number & 15];
  return text;
}

// Zero is reserved for "none" in traces and spans.
std::uint64_t NonZero(base::random_engine& random) {
  std::uint64_t number = 0;
  while (number == 0)
    number = random();
  return number;
}

bool HasDashes(std::string_view header) {
  return header[kTraceAt - 1] == '-' && header[kSpanAt - 1] == '-' &&
         header[kFlagsAt - 1] == '-';
}

bool IsAcceptedLength(std::string_view version, std::string_view header) {
  if (version == "00")
    return header.size() == kHeaderLength;
  return header.size() == kHeaderLength || header[kHeaderLength] == '-';
}

}  // namespace

std::string FormatTraceId(trace_id id) {
  return Hex64(id.high) + Hex64(id.low);
}

std::optional<trace_id> ParseTraceId(std::string_view text) {
  if (text.size() != kTraceLength || !IsLowerHex(text))
    return std::nullopt;
  const trace_id id{HexNumber(text.substr(0, kSpanLength)),
                    HexNumber(text.substr(kSpanLength))};
  if (id == trace_id{})
    return std::nullopt;
  return id;
}

std::string FormatSpanId(span_id id) {
  return Hex64(id.value());
}

std::optional<span_context> ParseTraceparent(std::string_view header) {
  if (header.size() < kHeaderLength || !HasDashes(header))
    return std::nullopt;
  const std::string_view version = header.substr(0, 2);
  const std::string_view span_text = header.substr(kSpanAt, kSpanLength);
  const std::string_view flags = header.substr(kFlagsAt, 2);
  const auto trace = ParseTraceId(header.substr(kTraceAt, kTraceLength));
  if (!trace || !IsLowerHex(version) || version == "ff" ||
      !IsLowerHex(span_text) || !IsLowerHex(flags) ||
      !IsAcceptedLength(version, header))
    return std::nullopt;
  const std::uint64_t span_number = HexNumber(span_text);
  if (span_number == 0)
    return std::nullopt;
  const bool sampled = (HexNumber(flags) & kSampledFlag) != 0;
  return span_context{*trace, span_id(span_number), sampled};
}

std::string FormatTraceparent(const span_context& context) {
  return "00-" + FormatTraceId(context.trace) + "-" +
         FormatSpanId(context.span) + (context.sampled ? "-01" : "-00");
}

span_context NewTrace(base::random_engine& random) {
  const trace_id trace{NonZero(random), random()};
  return {trace, span_id(NonZero(random)), true};
}

span_context NewChild(const span_context& parent, base::random_engine& random) {
  return {parent.trace, span_id(NonZero(random)), parent.sampled};
}

}  // namespace flamingoshunt::telemetry
