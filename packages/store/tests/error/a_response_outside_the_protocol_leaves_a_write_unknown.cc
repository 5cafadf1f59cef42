#include <catch2/catch.hpp>

#include "store/http_codec.h"

namespace flamingoshunt::store {
namespace {

struct sample {
  http_response response;
  call_outcome of_write;
};

const http_header kRevision{"x-store-revision", "9"};

const sample kSamples[] = {
    {{200, {kRevision, {"etag", "\"9\""}}, ""}, call_outcome::kOk},
    {{200, {{"etag", "\"9\""}}, ""}, call_outcome::kUnknown},
    {{200, {kRevision}, ""}, call_outcome::kUnknown},
    {{200, {kRevision, {"etag", "9"}}, ""}, call_outcome::kUnknown},
    {{500, {kRevision}, ""}, call_outcome::kUnknown},
    {{502, {}, "<html>"}, call_outcome::kUnknown},
    {{504, {}, ""}, call_outcome::kUnknown},
    {{302, {}, ""}, call_outcome::kUnknown},
    {{503, {}, ""}, call_outcome::kUnavailable},
    {{429, {}, ""}, call_outcome::kUnavailable},
    {{412, {kRevision}, ""}, call_outcome::kConflict},
    {{412, {}, "<html>"}, call_outcome::kUnknown},
};

}  // namespace

TEST_CASE("Only a response of the protocol settles a write") {
  call write;
  write.op = operation::kUpdate;
  write.key = {"entry", "n"};
  call read = write;
  read.op = operation::kGet;
  for (const sample& each : kSamples) {
    INFO(each.response.status);
    CHECK(DecodeReply(write, each.response).outcome == each.of_write);
    if (each.of_write == call_outcome::kUnknown)
      CHECK(DecodeReply(read, each.response).outcome ==
            call_outcome::kUnavailable);
  }
}

}  // namespace flamingoshunt::store
