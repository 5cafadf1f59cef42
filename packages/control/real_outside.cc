#include "control/real_outside.h"

#include <boost/fiber/operations.hpp>

#include <fstream>
#include <iterator>
#include <random>
#include <sstream>

#include "control/errors.h"
#include "runtime/http_client.h"
#include "store/http_codec.h"

namespace flamingoshunt::control {
namespace {

constexpr base::duration kAdminTimeout = std::chrono::seconds(2);
constexpr std::size_t kMaxFile = 16U << 20;  // bytes

store::http_response Plain(const runtime::http_response_head& head,
                           std::string body) {
  store::http_response plain;
  plain.status = head.status;
  plain.body = std::move(body);
  for (const auto& [name, value] : head.fields)
    plain.headers.push_back({name, value});
  return plain;
}

}  // namespace

store::reply real_outside::Perform(const store::call& request) {
  if (platform_.empty())
    throw command_error(exit_code::kInvalid,
                        "name the platform by --platform or --config");
  // Only an address that could not even be connected to lets the next one be
  // tried: anything later may have taken effect.
  for (const std::string& address : platform_) {
    if (const auto answer = PerformAt(address, request))
      return *answer;
  }
  return store::ReplyWithoutResponse(request, false);
}

std::optional<store::reply> real_outside::PerformAt(
    const std::string& address,
    const store::call& request) {
  runtime::http_connection connection(loop_);
  try {
    connection.Connect(address, request.timeout);
  } catch (const runtime::transport_error&) {
    return std::nullopt;
  }
  const store::http_request plain = store::EncodeCall(request);
  auto message = runtime::MakeRequest(plain.method, plain.target, address,
                                      plain.body, "application/json");
  for (const store::http_header& header : plain.headers)
    message.set(header.name, header.value);
  try {
    auto answer = runtime::Exchange(connection, message, request.timeout);
    return store::DecodeReply(request,
                              Plain(answer.head, std::move(answer.body)));
  } catch (const runtime::transport_error&) {
    return store::ReplyWithoutResponse(request,
                                       connection.request_may_have_left());
  }
}

std::optional<admin_answer> real_outside::Ask(const std::string& address,
                                              const std::string& method,
                                              const std::string& target) {
  runtime::http_connection connection(loop_);
  try {
    connection.Connect(address, kAdminTimeout);
    auto message = runtime::MakeRequest(method, target, address);
    auto answer = runtime::Exchange(connection, message, kAdminTimeout);
    return admin_answer{answer.head.status, std::move(answer.body)};
  } catch (const runtime::transport_error&) {
    return std::nullopt;
  }
}

void real_outside::Sleep(base::duration span) {
  if (span > base::duration::zero())
    boost::this_fiber::sleep_for(span);
}

std::optional<std::string> real_outside::ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file)
    return std::nullopt;
  std::string text;
  for (std::istreambuf_iterator<char> at(file), end; at != end; ++at) {
    if (text.size() == kMaxFile)
      throw command_error(exit_code::kInvalid, path + ": larger than 16 MiB");
    text.push_back(*at);
  }
  return text;
}

void real_outside::WriteFile(const std::string& path, const std::string& text) {
  std::ofstream file(path, std::ios::binary);
  file << text;
  file.close();
  if (!file)
    throw command_error(exit_code::kFailure, path + ": cannot be written");
}

std::string real_outside::WriterToken() {
  std::random_device random;
  std::ostringstream token;
  for (int i = 0; i < 4; ++i)
    token << std::hex << random();
  return token.str();
}

}  // namespace flamingoshunt::control
