// Defines the mending of text for JSON: engines send a token at a time and may
// split a character between two tokens, while JSON takes whole characters
// only. The joiner holds an incomplete character back until its rest comes;
// bytes that can never become a character turn into U+FFFD.
//
//   Take("caf\xc3")  returns "caf"
//   Take("\xa9")     returns "\xc3\xa9"
#ifndef FLAMINGOSHUNT_CALLER_UTF8_H_
#define FLAMINGOSHUNT_CALLER_UTF8_H_

#include <string>
#include <string_view>

namespace flamingoshunt::caller {

class utf8_reassembler {
 public:
  /// @return the characters that are complete with @p text.
  std::string Append(std::string_view text);

  /// @return what was held back, mended; the text is over.
  std::string Flush();

 private:
  std::string incomplete_;  // At most three bytes.
};

/// @return @p text with every invalid byte replaced by U+FFFD.
std::string ReplaceInvalidUtf8(std::string_view text);

}  // namespace flamingoshunt::caller

#endif  // FLAMINGOSHUNT_CALLER_UTF8_H_
