#include <catch2/catch.hpp>

#include "control/tests/fake_outside.h"

namespace flamingoshunt::control {
namespace {

constexpr const char* kOne = R"({"entries": [{"name": "chat", "owner": "desk",
  "kind": "engine", "model": "m", "version": "1"}], "workspaces": []})";
constexpr const char* kTwo = R"({"entries": [{"name": "chat", "owner": "desk",
  "kind": "engine", "model": "m", "version": "2"}], "workspaces": []})";

std::string Replaced(std::string text,
                     const std::string& from,
                     const std::string& to) {
  const auto at = text.find(from);
  REQUIRE(at != std::string::npos);
  return text.replace(at, from.size(), to);
}

}  // namespace

TEST_CASE("Apply creates, updates and leaves what is equal alone") {
  fake_outside world;
  world.files = {{"1", kOne}, {"2", kTwo}};
  CHECK(world.Call({"apply", "1"}) == exit_code::kOk);
  CHECK(world.out == "entry chat created\n");
  const auto revision = world.store.revision();
  CHECK(world.Call({"apply", "1"}) == exit_code::kOk);
  CHECK(world.out == "nothing to change\n");
  CHECK(world.store.revision() == revision);
  CHECK(world.Call({"diff", "2"}) == exit_code::kOk);
  CHECK(world.out == "~ entry chat\n    version: \"1\" -> \"2\"\n");
  CHECK(world.Call({"apply", "2"}) == exit_code::kOk);
  CHECK(world.out == "entry chat updated\n");
}

TEST_CASE("Lost answers of writes do not repeat them") {
  fake_outside world;
  world.files = {{"1", kOne}};
  world.lose_answers = 1;
  const auto revision = world.store.revision();
  CHECK(world.Call({"apply", "1"}) == exit_code::kOk);
  CHECK(world.store.revision().value() == revision.value() + 1);
}

TEST_CASE("A deleted item leaves a tombstone and can be created again") {
  fake_outside world;
  world.files = {{"1", kOne}};
  world.Call({"apply", "1"});
  CHECK(world.Call({"delete", "entry", "chat"}) == exit_code::kOk);
  CHECK(world.store.size() == 1);
  CHECK(world.Call({"get", "entry", "chat"}) == exit_code::kFailure);
  CHECK(world.Call({"apply", "1"}) == exit_code::kOk);
  CHECK(world.out == "entry chat created\n");
}

TEST_CASE("Of two edits of one version the second is a conflict") {
  fake_outside world;
  world.files = {{"1", kOne}};
  world.Call({"apply", "1"});
  for (const char* file : {"a", "b"})
    CHECK(world.Call({"edit", "entry", "chat", "--file", file}) ==
          exit_code::kOk);
  for (const char* file : {"a", "b"})
    world.files[file] = Replaced(world.files[file], "\"desk\"",
                                 std::string("\"desk ") + file + '"');
  CHECK(world.Call({"edit", "entry", "chat", "--file", "a"}) == exit_code::kOk);
  CHECK(world.Call({"edit", "entry", "chat", "--file", "b"}) ==
        exit_code::kConflict);
  CHECK(world.errors.find("version 2 is expected") != std::string::npos);
  CHECK(world.errors.find("desk a") != std::string::npos);
}

TEST_CASE("An edit between reading and writing is a conflict") {
  fake_outside world;
  world.files = {{"1", kOne}, {"2", kTwo}};
  world.Call({"apply", "1"});
  world.before_call = [&](const store::call& request) {
    if (request.op != store::operation::kUpdate)
      return;
    world.before_call = nullptr;
    store::call other = request;
    other.value = Replaced(request.value, "desk", "other");
    world.store.Apply(other);
  };
  CHECK(world.Call({"apply", "2"}) == exit_code::kConflict);
  CHECK(world.errors.find("based on version 2") != std::string::npos);
  CHECK(world.errors.find("other") != std::string::npos);
}

}  // namespace flamingoshunt::control
