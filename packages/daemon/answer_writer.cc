#include "daemon/answer_writer.h"

#include <utility>

#include "caller/render_problem.h"
#include "caller/render_stream.h"

namespace flamingoshunt::daemon {
namespace {

constexpr std::string_view kRequestIdField = "X-Request-Id";

class base_writer : public answer_writer {
 public:
  base_writer(runtime::http_exchange& exchange, std::string echoed_id)
      : exchange_(exchange), echoed_id_(std::move(echoed_id)) {}

 protected:
  runtime::http_fields Fields() const {
    return {{std::string(kRequestIdField), echoed_id_}};
  }
  const std::string& echoed_id() const { return echoed_id_; }

  runtime::http_exchange& exchange_;

 private:
  std::string echoed_id_;
};

// Server-sent events in the shape of hosted models.
class event_writer final : public base_writer {
 public:
  event_writer(runtime::http_exchange& exchange,
               const caller::request& request,
               std::string echoed_id,
               base::wall_time now)
      : base_writer(exchange, std::move(echoed_id)), renderer_(request, now) {}

  void Head(const delivery::send_head&) override {
    exchange_.StartStream(200, caller::kEventStream, Fields());
  }
  void Chunk(const delivery::send_chunk& chunk) override {
    exchange_.Write(renderer_.RenderChunk(chunk.data));
  }
  void End(const delivery::send_end& end) override {
    exchange_.Write(renderer_.RenderEnd(end.finish_reason, end.total));
    exchange_.EndStream();
  }
  void Problem(const caller::problem& problem) override {
    if (!exchange_.answered()) {
      SendProblem(exchange_, problem, echoed_id());
      return;
    }
    exchange_.Write(caller::stream_renderer::RenderError(problem));
    exchange_.EndStream();
  }

 private:
  caller::stream_renderer renderer_;
};

// One JSON answer, sent once the engine's stream is complete.
class whole_writer final : public base_writer {
 public:
  whole_writer(runtime::http_exchange& exchange,
               caller::request request,
               std::string echoed_id,
               base::wall_time now,
               std::size_t max_bytes)
      : base_writer(exchange, std::move(echoed_id)),
        request_(std::move(request)),
        now_(now),
        max_bytes_(max_bytes) {
    request_.body.clear();
  }

  void Head(const delivery::send_head&) override {}
  void Chunk(const delivery::send_chunk& chunk) override {
    if (text_.size() + chunk.data.size() <= max_bytes_)
      text_ += chunk.data;
    else
      too_large_ = true;
  }
  void End(const delivery::send_end& end) override {
    if (too_large_) {
      SendProblem(exchange_,
                  {502, "answer_too_large",
                   "the answer is above the bound; ask for a stream",
                   caller::run_outcome::kUnknown, std::nullopt},
                  echoed_id());
      return;
    }
    exchange_.SendWhole(
        200, "application/json",
        caller::RenderCompleteAnswer(request_, now_, text_, end.finish_reason,
                                     end.total),
        Fields());
  }
  void Problem(const caller::problem& problem) override {
    SendProblem(exchange_, problem, echoed_id());
  }

 private:
  caller::request request_;
  base::wall_time now_;
  std::size_t max_bytes_;
  std::string text_;
  bool too_large_ = false;
};

// The bytes of a plain service: whole where the machine held them, else
// chunked as they come.
class bytes_writer final : public base_writer {
 public:
  using base_writer::base_writer;

  void Head(const delivery::send_head& head) override {
    head_ = head;
    if (head.stream)
      exchange_.StartStream(head.status, head.content_type, Fields());
  }
  void Chunk(const delivery::send_chunk& chunk) override {
    if (head_.stream)
      exchange_.Write(chunk.data);
    else
      held_ += chunk.data;
  }
  void End(const delivery::send_end&) override {
    if (head_.stream)
      exchange_.EndStream();
    else
      exchange_.SendWhole(head_.status, head_.content_type, std::move(held_),
                          Fields());
  }
  void Problem(const caller::problem& problem) override {
    if (exchange_.answered())
      exchange_.Abort();
    else
      SendProblem(exchange_, problem, echoed_id());
  }

 private:
  delivery::send_head head_;
  std::string held_;
};

}  // namespace

void SendProblem(runtime::http_exchange& exchange,
                 const caller::problem& problem,
                 const std::string& echoed_id) {
  const auto rendered = caller::RenderProblem(problem, echoed_id);
  runtime::http_fields fields;
  for (const auto& header : rendered.headers)
    fields.emplace_back(header.name, header.value);
  exchange.SendWhole(rendered.status, rendered.content_type, rendered.body,
                     fields);
}

std::unique_ptr<answer_writer> MakeAnswerWriter(
    runtime::http_exchange& exchange,
    const caller::request& request,
    std::string echoed_id,
    base::wall_time now,
    std::size_t max_bytes) {
  if (request.shape == caller::call_shape::kService)
    return std::make_unique<bytes_writer>(exchange, std::move(echoed_id));
  if (request.stream)
    return std::make_unique<event_writer>(exchange, request,
                                          std::move(echoed_id), now);
  return std::make_unique<whole_writer>(exchange, request, std::move(echoed_id),
                                        now, max_bytes);
}

}  // namespace flamingoshunt::daemon
