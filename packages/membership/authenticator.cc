#include "membership/authenticator.h"

#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <algorithm>
#include <array>

#include "base/hash.h"

namespace flamingoshunt::membership {
namespace {

constexpr std::size_t kMacBytes = 16;  // of the 32 of SHA-256

// Each part is led by its length, so that no two sets of parts read the same.
std::string Joined(const signed_parts& parts) {
  const std::string counter = std::to_string(parts.counter);
  std::string text;
  for (const std::string_view part :
       {parts.method, parts.sender, parts.receiver, std::string_view(counter),
        parts.body}) {
    text += std::to_string(part.size());
    text += ':';
    text += part;
  }
  return text;
}

std::string Base64Url(const unsigned char* bytes, std::size_t count) {
  std::string text(4 * ((count + 2) / 3) + 1, '\0');
  const int written =
      EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()), bytes,
                      static_cast<int>(count));
  text.resize(static_cast<std::size_t>(written));
  std::replace(text.begin(), text.end(), '+', '-');
  std::replace(text.begin(), text.end(), '/', '_');
  text.erase(text.find_last_not_of('=') + 1);
  return text;
}

std::string Mac(const std::string& key, const std::string& text) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
       reinterpret_cast<const unsigned char*>(text.data()), text.size(),
       digest.data(), &size);
  return Base64Url(digest.data(), kMacBytes);
}

}  // namespace

authenticator::authenticator(std::vector<std::string> keys)
    : keys_(std::move(keys)) {
  if (keys_.empty() || keys_.size() > kMaxClusterKeys)
    throw membership_settings_error(
        "cluster keys: " + std::to_string(keys_.size()) +
        " given: must be from 1 to " + std::to_string(kMaxClusterKeys));
  for (const std::string& key : keys_) {
    if (key.size() < kMinClusterKey)
      throw membership_settings_error(
          "cluster key: " + std::to_string(key.size()) +
          " bytes long: must have at least " + std::to_string(kMinClusterKey));
  }
}

std::string authenticator::Sign(const signed_parts& parts) const {
  return Mac(keys_.front(), Joined(parts));
}

bool authenticator::Verify(const signed_parts& parts,
                           std::string_view mac) const {
  const std::string text = Joined(parts);
  bool fits = false;
  for (const std::string& key : keys_)
    fits |= base::EqualInConstantTime(Mac(key, text), mac);
  return fits;
}

bool replay_guard::Accept(const base::node_id& sender, std::uint64_t counter) {
  if (windows_.size() >= kMaxSenders && windows_.count(sender) == 0)
    windows_.erase(windows_.begin());
  window& seen = windows_[sender];
  if (counter > seen.highest) {
    const std::uint64_t step = counter - seen.highest;
    seen.used = step < kReplayWindow ? seen.used << step : 0;
    seen.used |= 1;
    seen.highest = counter;
    return true;
  }
  const std::uint64_t age = seen.highest - counter;
  if (age >= kReplayWindow || (seen.used >> age & 1) != 0)
    return false;
  seen.used |= std::uint64_t{1} << age;
  return true;
}

std::uint64_t replay_guard::Highest(const base::node_id& sender) const {
  const auto found = windows_.find(sender);
  return found == windows_.end() ? 0 : found->second.highest;
}

}  // namespace flamingoshunt::membership
