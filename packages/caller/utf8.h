// Defines the reassembly of text for JSON: engines send one token at a time and
// may split a character between two tokens, while JSON requires complete
// characters. An incomplete character is kept until its remaining bytes arrive;
// invalid bytes are replaced by U+FFFD.
//
//   Append("caf\xc3")  returns "caf"
//   Append("\xa9")     returns "\xc3\xa9"
#ifndef FLAMINGOSHUNT_CALLER_UTF8_H_
#define FLAMINGOSHUNT_CALLER_UTF8_H_

#include <string>
#include <string_view>

namespace flamingoshunt::caller {

class utf8_reassembler {
 public:
  /// @return the characters completed by @p text.
  std::string Append(std::string_view text);

  /// Ends the text.
  /// @return the replacement for an incomplete character, or an empty text.
  std::string Flush();

 private:
  std::string incomplete_;  // At most three bytes.
};

/// @return @p text with every invalid byte replaced by U+FFFD.
std::string ReplaceInvalidUtf8(std::string_view text);

}  // namespace flamingoshunt::caller

#endif  // FLAMINGOSHUNT_CALLER_UTF8_H_
