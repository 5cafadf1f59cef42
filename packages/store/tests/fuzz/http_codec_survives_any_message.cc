#include <catch2/catch.hpp>

#include "store/http_codec.h"
#include "tests/fixed_seed.h"

namespace flamingoshunt::store {
namespace {

constexpr int kCases = 500;

std::string Text() {
  return *rc::gen::arbitrary<std::string>();
}

template <class Function>
void DecodesOrExplains(Function decode) {
  try {
    decode();
  } catch (const malformed_message& error) {
    RC_ASSERT(!std::string(error.what()).empty());
  }
}

}  // namespace

TEST_CASE("Any request is decoded or refused with a reason") {
  CHECK(tests::Holds(
      [] {
        http_request message;
        message.method =
            *rc::gen::element<std::string>("GET", "PUT", "DELETE", "PATCH", "");
        message.target = *rc::gen::element<std::string>(
                             "/v1/objects/", "/v1/watch/entry?after=", "/") +
                         Text();
        message.headers = {{"If-Match", Text()}, {Text(), Text()}};
        DecodesOrExplains([&] { DecodeCall(message); });
        DecodesOrExplains([&] { DecodeWatch(message); });
      },
      kCases));
}

TEST_CASE("Any response gives one outcome and any watch line is explained") {
  CHECK(tests::Holds(
      [] {
        call request;
        request.op = *rc::gen::element(operation::kGet, operation::kList,
                                       operation::kCreate, operation::kUpdate,
                                       operation::kDelete);
        request.key = {"entry", "n"};
        http_response message;
        message.status = *rc::gen::element(200, 201, 404, 412, 503, 500, 0);
        message.headers = {{"ETag", '"' + Text() + '"'},
                           {"X-Store-Revision", "12"}};
        message.body =
            *rc::gen::element<std::string>("{\"objects\":[", "") + Text();
        DecodeReply(request, message);
        DecodesOrExplains(
            [&] { DecodeWatchEvent(watch_request{}, message.body); });
        const std::string line =
            "{\"event\":\"put\",\"revision\":" + Text() + "}";
        DecodesOrExplains([&] { DecodeWatchEvent(watch_request{}, line); });
      },
      kCases));
}

}  // namespace flamingoshunt::store
