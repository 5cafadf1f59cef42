#include <catch2/catch.hpp>

#include "base/random.h"
#include "endpoint/http_codec.h"

namespace flamingoshunt::endpoint {
namespace {

// Changes a valid text in a few places. Most results are nearly valid and reach
// deeper into the decoders than random bytes would.
std::string Mutate(std::string text, base::random_engine& random) {
  const std::size_t changes = 1 + base::RandomIndex(random, 4);
  for (std::size_t i = 0; i < changes && !text.empty(); ++i) {
    const std::size_t position = base::RandomIndex(random, text.size());
    const char byte = static_cast<char>(base::RandomIndex(random, 256));
    if (base::RandomIndex(random, 2) == 0)
      text[position] = byte;
    else
      text.erase(position, 1 + base::RandomIndex(random, 8));
  }
  return text;
}

template <class Decode>
void DecodeOrRefuse(const Decode& decode) {
  try {
    decode();
  } catch (const malformed_message&) {
  }
}

}  // namespace

TEST_CASE("Decoders refuse mutated messages and never crash") {
  base::random_engine random(20260401);
  const std::string order_text = EncodeOrder({});
  const std::string report_text = EncodeReport({});
  const std::string stream = EncodeChunk(0, 1, "a") + EncodeEnd(1, "stop");
  for (int round = 0; round < 5000; ++round) {
    DecodeOrRefuse([&] { DecodeOrder(Mutate(order_text, random)); });
    DecodeOrRefuse([&] { DecodeReport(Mutate(report_text, random), {}); });
    DecodeOrRefuse(
        [&] { DecodeEngineCall(Mutate("{\"call\":{\"a\":1}}", random)); });
    DecodeOrRefuse([&] {
      stream_parser parser(base::attempt_id(1));
      parser.Parse(Mutate(stream, random));
    });
  }
}

}  // namespace flamingoshunt::endpoint
