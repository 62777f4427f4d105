#include "Wire/JsonText.h"

#include <iterator>
#include <sstream>
#include <string_view>

#include <cxxtools/json.h>
#include <utf8.h>

namespace camphorstep {

namespace {

constexpr int kMaxDepth = 8;
/// The digits that follow "\u".
constexpr int kUnicodeDigits = 4;

bool
IsAscii(char aChar)
{
  return static_cast<unsigned char>(aChar) < 0x80;
}

bool
IsOneOf(char aChar, std::string_view aChars)
{
  return aChars.find(aChar) != std::string_view::npos;
}

bool
IsBlank(char aChar)
{
  return IsOneOf(aChar, " \t\r\n");
}

bool
IsHexDigit(char aChar)
{
  return IsOneOf(aChar, "0123456789abcdefABCDEF");
}

/// Follows the strings and brackets of a JSON text. Throws JsonError for
/// characters that are not allowed where they stand.
class TextScanner
{
public:
  void Feed(char aChar)
  {
    if (mInString) {
      FeedString(aChar);
    } else if (aChar == '"') {
      mInString = true;
    } else if (aChar == '{' || aChar == '[') {
      ++mDepth;
    } else if (aChar == '}' || aChar == ']') {
      --mDepth;
    } else if (!IsAscii(aChar) || aChar == '\0') {
      throw JsonError("a character outside strings is not allowed");
    } else if (aChar == '/') {
      // The library skips comments, in which quotes would mislead the scanner.
      throw JsonError("the JSON text holds a comment");
    }
    if (mDepth > kMaxDepth) {
      throw JsonError("the JSON text is nested too deeply");
    }
  }

  int Depth() const { return mDepth; }

private:
  void FeedString(char aChar)
  {
    if (mDigitsLeft > 0) {
      if (!IsHexDigit(aChar)) {
        throw JsonError("an escape in a string has no four digits");
      }
      --mDigitsLeft;
    } else if (mEscaped) {
      if (!IsOneOf(aChar, "\"\\/bfnrtu")) {
        throw JsonError("an escape in a string is not known");
      }
      mEscaped = false;
      mDigitsLeft = aChar == 'u' ? kUnicodeDigits : 0;
    } else if (aChar == '\\') {
      mEscaped = true;
    } else if (aChar == '"') {
      mInString = false;
    }
  }

  int mDepth = 0;
  bool mInString = false;
  bool mEscaped = false;
  int mDigitsLeft = 0;
};

/// Checks that the text is one bracketed value with nothing after it, in which
/// the library's reader meets nothing that it cannot take.
void
CheckText(const std::string& aText)
{
  if (!IsUtf8(aText)) {
    throw JsonError("the text is not UTF-8");
  }
  TextScanner scanner;
  bool begun = false;
  for (const char ch : aText) {
    if (scanner.Depth() == 0 && !IsBlank(ch)) {
      if (begun) {
        throw JsonError("there is text after the JSON value");
      }
      if (ch != '{' && ch != '[') {
        throw JsonError("the text is not a JSON object or array");
      }
      begun = true;
    }
    scanner.Feed(ch);
  }
  if (!begun || scanner.Depth() != 0) {
    throw JsonError("the JSON value does not end");
  }
}

}

cxxtools::SerializationInfo
ParseJson(const std::string& aText)
{
  CheckText(aText);
  std::istringstream in(aText);
  cxxtools::JsonDeserializer deserializer(in);
  cxxtools::SerializationInfo info;
  deserializer.deserialize(info);
  return info;
}

cxxtools::SerializationInfo
ParseJsonObject(const std::string& aText)
{
  cxxtools::SerializationInfo info = ParseJson(aText);
  if (info.category() != cxxtools::SerializationInfo::Object) {
    throw JsonError("the text is not a JSON object");
  }
  return info;
}

bool
IsUtf8(const std::string& aText)
{
  return utf8::find_invalid(aText.begin(), aText.end()) == aText.end();
}

std::string
ReplaceInvalidUtf8(const std::string& aText)
{
  std::string replaced;
  replaced.reserve(aText.size());
  utf8::replace_invalid(
    aText.begin(), aText.end(), std::back_inserter(replaced));
  return replaced;
}

}
