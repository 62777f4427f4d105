#pragma once

#include <stdexcept>
#include <string>

#include <cxxtools/serializationinfo.h>

namespace camphorstep {

/// A text that is no JSON, or that is not given to the library's reader.
class JsonError : public std::runtime_error
{
public:
  using std::runtime_error::runtime_error;
};

/// Parses a JSON object or array that another process wrote. Throws JsonError
/// or another std::exception if the text is anything else.
///
/// The library's reader works recursively without a limit of its own, and reads
/// outside its tables for characters beyond ASCII in some places. So texts that
/// are nested more deeply than any message needs to be, that are not UTF-8, or
/// that have other characters than ASCII outside strings are refused before it
/// sees them.
cxxtools::SerializationInfo ParseJson(const std::string& aText);

/// Parses a JSON object in the same way; throws JsonError for an array.
cxxtools::SerializationInfo ParseJsonObject(const std::string& aText);

bool IsUtf8(const std::string& aText);

/// Replaces bytes that are not UTF-8 by U+FFFD, so that the rest can be parsed.
std::string ReplaceInvalidUtf8(const std::string& aText);

}
