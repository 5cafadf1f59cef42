#include "membership/json_rpc_codec.h"

#include <jsonrpccpp/client.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/iprocedureinvokationhandler.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>

namespace flamingoshunt {
namespace membership {
namespace {

using jsonrpc::JSON_ARRAY;
using jsonrpc::JSON_STRING;
using jsonrpc::PARAMS_BY_POSITION;

const char* const kMethods[] = {"ping", "indirect_ping", "gossip", "sync",
                                "exchange"};
constexpr Json::ArrayIndex kParameters = 5;
constexpr Json::ArrayIndex kResults = 2;

// Lets the library's client write a request that nobody sends, or read an
// answer that came some other way.
class captured_exchange : public jsonrpc::IClientConnector {
 public:
  void SendRPCMessage(const std::string& message, std::string& result) throw(
      jsonrpc::JsonRpcException) override {
    sent = message;
    result = answer;
  }

  std::string sent;
  std::string answer;
};

// Lets the library's server read a request that is answered later, or write an
// answer to a request read earlier.
class captured_call : public jsonrpc::IProcedureInvokationHandler {
 public:
  void HandleMethodCall(jsonrpc::Procedure& procedure,
                        const Json::Value& input,
                        Json::Value& output) override {
    called = true;
    method = procedure.GetProcedureName();
    parameters = input;
    output = result;
  }
  void HandleNotificationCall(jsonrpc::Procedure&,
                              const Json::Value&) override {}

  bool called = false;
  std::string method;
  Json::Value parameters;
  Json::Value result;
};

// Any answer will do while a request is written; this one is the cheapest.
const char kNoAnswer[] = "{\"id\":1,\"jsonrpc\":\"2.0\",\"result\":0}";
// The request that an answer is written to; every call has the id 1.
const char kAnyRequest[] =
    "{\"id\":1,\"jsonrpc\":\"2.0\",\"method\":\"answer\"}";

std::string WithoutNewline(std::string text) {
  while (!text.empty() && text.back() == '\n')
    text.pop_back();
  return text;
}

}  // namespace

struct json_rpc_codec::library {
  library()
      : client(exchange),
        server(jsonrpc::RequestHandlerFactory::createProtocolHandler(
            jsonrpc::JSONRPC_SERVER_V2,
            call)) {
    for (const char* method : kMethods) {
      server->AddProcedure(jsonrpc::Procedure(
          method, PARAMS_BY_POSITION, JSON_ARRAY, "sender", JSON_STRING,
          "receiver", JSON_STRING, "counter", JSON_STRING, "mac", JSON_STRING,
          "body", JSON_STRING, NULL));
    }
    server->AddProcedure(
        jsonrpc::Procedure("answer", PARAMS_BY_POSITION, JSON_ARRAY, NULL));
  }

  captured_exchange exchange;
  jsonrpc::Client client;
  captured_call call;
  std::unique_ptr<jsonrpc::IProtocolHandler> server;
};

json_rpc_codec::json_rpc_codec() : library_(new library) {}

json_rpc_codec::~json_rpc_codec() = default;

std::string json_rpc_codec::EncodeRequest(const rpc_request& request) {
  Json::Value parameters(Json::arrayValue);
  parameters.append(request.sender);
  parameters.append(request.receiver);
  parameters.append(request.counter);
  parameters.append(request.mac);
  parameters.append(request.body);
  library_->exchange.answer = kNoAnswer;
  library_->client.CallMethod(request.method, parameters);
  return WithoutNewline(library_->exchange.sent);
}

std::string json_rpc_codec::EncodeAnswer(const rpc_answer& answer) {
  Json::Value result(Json::arrayValue);
  result.append(answer.mac);
  result.append(answer.body);
  library_->call.result = result;
  std::string text;
  library_->server->HandleRequest(kAnyRequest, text);
  return WithoutNewline(text);
}

bool json_rpc_codec::DecodeRequest(const std::string& text,
                                   rpc_request& request,
                                   rpc_problem& problem) {
  captured_call& call = library_->call;
  call.called = false;
  call.result = Json::Value(0);
  std::string error_text;
  try {
    library_->server->HandleRequest(text, error_text);
  } catch (const std::exception& error) {
    problem.problem = error.what();
    return false;
  }
  const Json::Value& parameters = call.parameters;
  if (!call.called || !parameters.isArray() ||
      parameters.size() != kParameters) {
    problem.error_text = WithoutNewline(error_text);
    problem.problem = "not a call of the peer interface";
    return false;
  }
  request.method = call.method;
  request.sender = parameters[0].asString();
  request.receiver = parameters[1].asString();
  request.counter = parameters[2].asString();
  request.mac = parameters[3].asString();
  request.body = parameters[4].asString();
  return true;
}

bool json_rpc_codec::DecodeAnswer(const std::string& text,
                                  rpc_answer& answer,
                                  rpc_problem& problem) {
  Json::Value result;
  try {
    library_->exchange.answer = text;
    library_->client.CallMethod("answer", Json::Value(), result);
  } catch (const std::exception& error) {
    problem.problem = error.what();
    return false;
  }
  if (!result.isArray() || result.size() != kResults || !result[0].isString() ||
      !result[1].isString()) {
    problem.problem = "the result is not [mac, body]";
    return false;
  }
  answer.mac = result[0].asString();
  answer.body = result[1].asString();
  return true;
}

}  // namespace membership
}  // namespace flamingoshunt
