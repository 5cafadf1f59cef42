#include <catch2/catch.hpp>

#include <string>
#include <vector>

#include "base/json_text.h"

namespace flamingoshunt::base {
namespace {

using texts = std::vector<std::string_view>;

}  // namespace

TEST_CASE("A document is taken apart into the texts of its parts") {
  const auto members = SplitJsonObject(
      " { \"a\" : [1, {\"b\": \"]}\"}] ,\n\"c\":\"x\\\"y\", \"d\": -1.5e3 } ");
  REQUIRE(members);
  CHECK(members->size() == 3);
  CHECK(members->at("a") == R"([1, {"b": "]}"}])");
  CHECK(members->at("c") == R"("x\"y")");
  CHECK(members->at("d") == "-1.5e3");
  CHECK(*SplitJsonArray(members->at("a")) == texts{"1", R"({"b": "]}"})"});
  CHECK(SplitJsonObject("{}")->empty());
  CHECK(SplitJsonArray(" [ ] ")->empty());
}

TEST_CASE("Parts that no parser reads keep their neighbours readable") {
  const std::string deep = std::string(5000, '[') + std::string(5000, ']');
  for (const std::string& unreadable :
       {std::string(R"("\udcff")"), std::string("\"\xff\xfe\""), deep,
        std::string("NaN"), std::string(R"({"a" 1 "b"})"),
        std::string("\"tab\there\"")}) {
    INFO(unreadable.substr(0, 20));
    const std::string text = "[1," + unreadable + ",2]";
    const auto elements = SplitJsonArray(text);
    REQUIRE(elements);
    CHECK(*elements == texts{"1", unreadable, "2"});
  }
}

TEST_CASE("Keys are compared by what they spell, and the last one counts") {
  const auto members = SplitJsonObject(R"({"a":1,"\u0061":2,"\udcff":3})");
  REQUIRE(members);
  CHECK(members->at("a") == "2");
  CHECK(members->size() == 2);
}

TEST_CASE("Text that is no whole object or array is not taken apart") {
  for (const char* text :
       {"",        "{",        "}",          "{]",    "[}",
        "{\"a\"}", "{\"a\":}", "{\"a\":1,}", "{,}",   "{\"a\":1}x",
        "[1,,2]",  "[1 2]",    "[1",         "[\"a]", "[\"\\",
        "[{]}]",   "1",        "\"a\"",      "{a:1}", "{\"a\":1 \"b\":2}",
        "[1]]",    "[,1]"}) {
    INFO(text);
    CHECK_FALSE(SplitJsonObject(text));
    CHECK_FALSE(SplitJsonArray(text));
  }
}

}  // namespace flamingoshunt::base
