// Splits damaged documents. Whatever the parser accepts must be split into the
// same members and elements; nothing may throw.
#include <boost/json.hpp>

#include <catch2/catch.hpp>

#include <string>

#include "base/json_text.h"
#include "base/random.h"

namespace flamingoshunt::base {
namespace {

namespace json = boost::json;

std::string Damage(std::string text, random_engine& random) {
  constexpr std::string_view kBytes = "{}[],:\"\\ 1a\x80";
  for (std::size_t left = RandomIndex(random, 3); left > 0; --left)
    text[RandomIndex(random, text.size())] =
        kBytes[RandomIndex(random, kBytes.size())];
  if (RandomIndex(random, 8) == 0)
    text.resize(RandomIndex(random, text.size()));
  return text;
}

}  // namespace

TEST_CASE("What the parser reads is taken apart into the same parts") {
  const std::string document =
      R"({"items":[{"a":"x\"y","b":[1,{}]},null,[[]],"\\"],"more":true,)"
      R"("n":-1.5e3,"t":"]},{["})";
  random_engine random(5);
  int read = 0;
  for (int round = 0; round < 20000; ++round) {
    const std::string text = Damage(document, random);
    json::error_code error;
    const json::value whole = json::parse(text, error);
    const auto members = SplitJsonObject(text);
    if (error || !whole.is_object())
      continue;
    ++read;
    REQUIRE(members);
    REQUIRE(members->size() == whole.as_object().size());
    for (const auto& member : whole.as_object()) {
      const auto part = members->find(
          std::string_view(member.key().data(), member.key().size()));
      REQUIRE(part != members->end());
      CHECK(json::parse(std::string(part->second)) == member.value());
      if (!member.value().is_array())
        continue;
      const auto elements = SplitJsonArray(part->second);
      REQUIRE(elements);
      REQUIRE(elements->size() == member.value().as_array().size());
      for (std::size_t i = 0; i < elements->size(); ++i)
        CHECK(json::parse(std::string((*elements)[i])) ==
              member.value().as_array()[i]);
    }
  }
  CHECK(read > 1000);
}

}  // namespace flamingoshunt::base
