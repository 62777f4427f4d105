#include <catch2/catch.hpp>

#include <string>
#include <vector>

#include <cxxtools/string.h>
#include <cxxtools/utf8codec.h>

#include "Wire/JsonText.h"
#include "Wire/StoreJson.h"

using namespace camphorstep;

TEST_CASE("Texts that the library's reader cannot take are refused",
          "[JsonText]")
{
  // Guards against input that ends the process instead of being refused.
  const std::vector<std::string> refused{
    "",
    " ",
    "5",
    "\"text\"",
    "{",
    "}",
    "{\"a\":1}x",
    "{\"a\":1}{}",
    "{/* comment */}",
    // Not UTF-8: a lone byte, an overlong form, a surrogate, beyond U+10FFFF.
    "{\"a\":\"\xff\"}",
    "{\"a\":\"\xc0\xaf\"}",
    "{\"a\":\"\xed\xa0\x80\"}",
    "{\"a\":\"\xf4\x90\x80\x80\"}",
    // A character that is not ASCII, outside strings.
    "{\"a\":\xc3\xa9}",
    "{\xf0\x9f\x98\x80:1}",
    "{\"a\":1\xe2\x80\x83}",
    // Escapes.
    "{\"a\":\"\\x\"}",
    "{\"a\":\"\\\xc3\xa9\"}",
    "{\"a\":\"\\u12g4\"}",
    "{\"a\":\"\\u12\"}",
    std::string(9, '[') + std::string(9, ']'),
    std::string(40'000, '['),
    std::string(40'000, '{'),
  };
  for (const std::string& text : refused) {
    INFO(text.substr(0, 100));
    CHECK_THROWS(ParseJson(text));
  }
}

TEST_CASE("Texts in strings may have any character", "[JsonText]")
{
  const cxxtools::SerializationInfo info = ParseJsonObject(
    "{\"a\":\"\xc3\xa9 \xf0\x9f\x98\x80 \\u00e9 \\n \\\" [[[\"}");
  cxxtools::String text;
  info.getMember("a") >>= text;
  CHECK(cxxtools::encode<cxxtools::Utf8Codec>(text) ==
        "\xc3\xa9 \xf0\x9f\x98\x80 \xc3\xa9 \n \" [[[");
  CHECK_THROWS(ParseJsonObject("[]"));
  CHECK_NOTHROW(ParseJson("[{\"a\":[1,2.5,true,null]}]"));
}

TEST_CASE("Answers of the table service are refused when they cannot be read",
          "[JsonText]")
{
  // Guards against an answer that ends the process in the store's client.
  std::vector<StoreRow> rows;
  CHECK_THROWS(FromJson(std::string(40'000, '['), rows));
  CHECK_THROWS(FromJson("[{\"key\":\"k\",\"version\":\xf4!\xa2\xb3}]", rows));
  CHECK_THROWS(FromJson("[{\"key\":\"k\",\"version\":99999999999999999999,"
                        "\"value\":\"v\"}]",
                        rows));
  FromJson("[{\"key\":\"k\",\"version\":3,\"value\":\"v\"}]", rows);
  REQUIRE(rows.size() == 1);
  CHECK(rows[0].mVersion == 3);
}

TEST_CASE("A machine of the list that cannot be read does not hide the others",
          "[StoreJson]")
{
  // Guards against a list that is not followed any longer.
  std::vector<ListedMachine> machines;
  FromJson(R"([{"name":"a","kind":"teapot","leaving":false,"generation":1},)"
           R"({"name":"b","kind":"server","leaving":false,)"
           R"("generation":99999999999999999999},)"
           R"({"kind":"server"},5,{"name":[[[]]]},)"
           R"({"name":"c","kind":"server","leaving":true,"generation":2}])",
           machines);
  REQUIRE(machines.size() == 1);
  CHECK(machines[0].mName == "c");
  CHECK(machines[0].mGeneration == 2);
}
