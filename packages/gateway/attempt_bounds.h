// Defines the bounds of one attempt at a replica or a peer, and how it reads
// the status of an answer.
#ifndef FLAMINGOSHUNT_GATEWAY_ATTEMPT_BOUNDS_H_
#define FLAMINGOSHUNT_GATEWAY_ATTEMPT_BOUNDS_H_

#include <chrono>
#include <cstddef>

namespace flamingoshunt::gateway {

/// Limits the wait for one replica, since another one could serve the request.
inline constexpr std::chrono::milliseconds kConnectTimeout{400};
/// Another peer may take the request if this one doesn't accept it soon.
inline constexpr std::chrono::milliseconds kPeerConnectTimeout{300};

/// A second attempt of an idempotent request starts after this multiple of its
/// latency target.
inline constexpr int kTargetsBeforeStandby = 2;
/// Replicas that may be unreachable before a request fails.
inline constexpr std::size_t kMaxFailedConnections = 4;

inline constexpr int kFirstServerErrorStatus = 500;

constexpr bool IsSuccessStatus(int status) {
  constexpr int kFirstSuccess = 200;
  constexpr int kFirstRedirect = 300;
  return status >= kFirstSuccess && status < kFirstRedirect;
}

/// @return whether @p status tells a caller that its request was not executed.
constexpr bool PromisesNotRun(int status) {
  constexpr int kRequestTimeout = 408;
  constexpr int kMisdirected = 421;
  constexpr int kTooManyRequests = 429;
  constexpr int kUnavailable = 503;
  return status == kRequestTimeout || status == kMisdirected ||
         status == kTooManyRequests || status == kUnavailable;
}

}  // namespace flamingoshunt::gateway

#endif  // FLAMINGOSHUNT_GATEWAY_ATTEMPT_BOUNDS_H_
