// Defines the JSON-RPC 2.0 envelope of the peer interface, encoded and decoded
// by libjsonrpccpp. Its source file is compiled as C++14 (see CMakeLists.txt),
// so this header shows none of the library's types and no newer C++.
//
//   {"id":1,"jsonrpc":"2.0","method":"ping",
//    "params":["n1","n2","1764822123001","<mac>","<body>"]}
//   {"id":1,"jsonrpc":"2.0","result":["<mac>","<body>"]}
#ifndef FLAMINGOSHUNT_MEMBERSHIP_JSON_RPC_CODEC_H_
#define FLAMINGOSHUNT_MEMBERSHIP_JSON_RPC_CODEC_H_

#include <memory>
#include <string>

namespace flamingoshunt {
namespace membership {

/// A call; all parts travel as strings.
struct rpc_request {
  std::string method;
  std::string sender;
  std::string receiver;
  std::string counter;  ///< Decimal.
  std::string mac;
  std::string body;
};

struct rpc_answer {
  std::string mac;
  std::string body;
};

/// What became of a text: on failure @c problem says why, and @c error_text is
/// the JSON-RPC error to send back for a request.
struct rpc_problem {
  std::string problem;
  std::string error_text;
};

/// One POST carries one call, whose id is always 1; no batches.
class json_rpc_codec {
 public:
  json_rpc_codec();
  ~json_rpc_codec();
  json_rpc_codec(const json_rpc_codec&) = delete;
  json_rpc_codec& operator=(const json_rpc_codec&) = delete;

  std::string EncodeRequest(const rpc_request& request);
  std::string EncodeAnswer(const rpc_answer& answer);

  /// @return whether @p text was a request of a known method.
  bool DecodeRequest(const std::string& text,
                     rpc_request& request,
                     rpc_problem& problem);

  /// @return whether @p text was an answer; a JSON-RPC error is a problem.
  bool DecodeAnswer(const std::string& text,
                    rpc_answer& answer,
                    rpc_problem& problem);

 private:
  struct library;
  std::unique_ptr<library> library_;
};

}  // namespace membership
}  // namespace flamingoshunt

#endif  // FLAMINGOSHUNT_MEMBERSHIP_JSON_RPC_CODEC_H_
