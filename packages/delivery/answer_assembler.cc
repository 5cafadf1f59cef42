#include "delivery/answer_assembler.h"

#include "delivery/engine_answer.h"
#include "delivery/service_answer.h"

namespace flamingoshunt::delivery {

std::unique_ptr<answer_assembler> MakeAnswerAssembler(
    const caller::request& request,
    const answer_settings& settings) {
  if (request.shape == caller::call_shape::kService)
    return std::make_unique<service_answer>(request.repeatable, settings);
  return std::make_unique<engine_answer>(request.stream, settings);
}

}  // namespace flamingoshunt::delivery
