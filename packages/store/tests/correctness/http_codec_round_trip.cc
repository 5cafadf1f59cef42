#include <catch2/catch.hpp>

#include "stand_ins/platform_store.h"
#include "store/http_codec.h"

namespace flamingoshunt::store {
namespace {

call Call(operation op, std::string name, std::uint64_t expected = 0) {
  call request;
  request.op = op;
  request.key = {"entry", std::move(name)};
  request.expected = base::revision(expected);
  if (op == operation::kCreate || op == operation::kUpdate)
    request.value = R"({"a": "\n"})";
  return request;
}

// Sends a call through the codec both ways, as client and platform would.
reply Exchange(stand_ins::platform_store& store, const call& request) {
  const call received = DecodeCall(EncodeCall(request));
  CHECK(received.op == request.op);
  CHECK(received.key == request.key);
  CHECK(received.expected == request.expected);
  return DecodeReply(request, EncodeReply(received, store.Apply(received)));
}

}  // namespace

TEST_CASE("Every call and its reply survive the codec") {
  stand_ins::platform_store direct;
  stand_ins::platform_store by_http;
  const std::string odd_name = "a/b %\"?\xc3\xa9";
  const call calls[] = {Call(operation::kCreate, odd_name),
                        Call(operation::kCreate, odd_name),
                        Call(operation::kGet, odd_name),
                        Call(operation::kUpdate, odd_name, 2),
                        Call(operation::kUpdate, odd_name, 2),
                        Call(operation::kUpdate, "missing", 2),
                        Call(operation::kGet, "missing"),
                        Call(operation::kList, ""),
                        Call(operation::kDelete, odd_name, 2),
                        Call(operation::kDelete, odd_name, 3),
                        Call(operation::kList, "")};
  for (const call& request : calls) {
    const reply expected = direct.Apply(request);
    const reply got = Exchange(by_http, request);
    CHECK(got.outcome == expected.outcome);
    CHECK(got.current == expected.current);
    CHECK(got.listed == expected.listed);
    CHECK(got.store_revision == expected.store_revision);
  }
}

TEST_CASE("Watches and their events survive the codec") {
  watch_request request{watch_id(7), "entry", base::revision(41)};
  const watch_request received = DecodeWatch(EncodeWatch(request));
  CHECK(received.kind == request.kind);
  CHECK(received.after == request.after);
  const object changed{{"entry", "n"}, base::revision(42), "{\"x\":1}"};
  const object deleted{{"entry", "n"}, base::revision(43), ""};
  const object mark{{"entry", ""}, base::revision(44), ""};
  for (const watch_event& event :
       {watch_event{request.id, watch_event_kind::kPut, changed},
        watch_event{request.id, watch_event_kind::kDelete, deleted},
        watch_event{request.id, watch_event_kind::kBookmark, mark},
        watch_event{request.id, watch_event_kind::kGap, mark}}) {
    const watch_event got = DecodeWatchEvent(request, EncodeWatchEvent(event));
    CHECK(got.id == event.id);
    CHECK(got.kind == event.kind);
    CHECK(got.changed == event.changed);
  }
}

}  // namespace flamingoshunt::store
