#include "caller/utf8.h"

#include <algorithm>

namespace flamingoshunt::caller {
namespace {

constexpr std::string_view kReplacement = "\xef\xbf\xbd";

unsigned char ByteAt(std::string_view text, std::size_t i) {
  return static_cast<unsigned char>(text[i]);
}

// @return the sequence length given by a lead byte, zero if it is not one.
std::size_t SequenceLength(unsigned char lead) {
  if (lead < 0x80)
    return 1;
  if (lead >= 0xc2 && lead <= 0xdf)
    return 2;
  if (lead >= 0xe0 && lead <= 0xef)
    return 3;
  return lead >= 0xf0 && lead <= 0xf4 ? 4 : 0;
}

// The second byte's range excludes overlong forms, surrogates and code points
// above U+10FFFF.
bool IsValidSecondByte(unsigned char lead, unsigned char byte) {
  if (lead == 0xe0)
    return byte >= 0xa0 && byte <= 0xbf;
  if (lead == 0xed)
    return byte >= 0x80 && byte <= 0x9f;
  if (lead == 0xf0)
    return byte >= 0x90 && byte <= 0xbf;
  if (lead == 0xf4)
    return byte >= 0x80 && byte <= 0x8f;
  return byte >= 0x80 && byte <= 0xbf;
}

struct utf8_sequence {
  std::size_t size = 0;   // Bytes in the sequence, at least one.
  bool valid = false;     // A valid character.
  bool complete = false;  // Further bytes cannot change the result.
};

utf8_sequence FirstSequence(std::string_view text) {
  const unsigned char lead = ByteAt(text, 0);
  const std::size_t length = SequenceLength(lead);
  if (length == 0)
    return {1, false, true};
  for (std::size_t i = 1; i < length; ++i) {
    if (i == text.size())
      return {i, false, false};
    const unsigned char byte = ByteAt(text, i);
    const bool is_valid_byte =
        i == 1 ? IsValidSecondByte(lead, byte) : byte >= 0x80 && byte <= 0xbf;
    if (!is_valid_byte)
      return {i, false, true};
  }
  return {length, true, true};
}

}  // namespace

std::string utf8_reassembler::Append(std::string_view text) {
  const std::string pending_text = incomplete_ + std::string(text);
  incomplete_.clear();
  std::string out;
  std::string_view remainder = pending_text;
  while (!remainder.empty()) {
    const utf8_sequence first = FirstSequence(remainder);
    if (!first.complete) {
      incomplete_ = remainder;
      break;
    }
    out += first.valid ? remainder.substr(0, first.size) : kReplacement;
    remainder.remove_prefix(first.size);
  }
  return out;
}

std::string utf8_reassembler::Flush() {
  if (incomplete_.empty())
    return {};
  incomplete_.clear();
  return std::string(kReplacement);
}

std::string ReplaceInvalidUtf8(std::string_view text) {
  utf8_reassembler reassembler;
  std::string out = reassembler.Append(text);
  out += reassembler.Flush();
  return out;
}

}  // namespace flamingoshunt::caller
