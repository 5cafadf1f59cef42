#include "gateway/configuration.h"

#include <utility>

namespace flamingoshunt::gateway {
namespace {

// Hosts contain no space, so the joined key is unambiguous.
std::string PlaceKey(std::string_view host, std::string_view prefix) {
  std::string key(host);
  key += ' ';
  key += prefix;
  return key;
}

std::string_view WithoutPort(std::string_view host) {
  const auto colon = host.rfind(':');
  const bool bracketed = !host.empty() && host.back() == ']';
  return colon == std::string_view::npos || bracketed ? host
                                                      : host.substr(0, colon);
}

}  // namespace

const model_layout* engine_pace::Find(std::string_view name) const {
  for (const model_layout& model : models) {
    if (model.name == name)
      return &model;
  }
  return nullptr;
}

configuration::configuration(std::uint64_t version,
                             std::vector<route> routes,
                             std::vector<service> services,
                             std::unordered_map<std::string, workspace> keys,
                             caller_limits limits)
    : version_(version),
      routes_(std::move(routes)),
      keys_(std::move(keys)),
      limits_(limits) {
  for (std::size_t i = 0; i < routes_.size(); ++i)
    by_place_[PlaceKey(routes_[i].host, routes_[i].path_prefix)] = i;
  for (service& each : services)
    services_.insert_or_assign(each.name, std::move(each));
}

const route* configuration::Match(std::string_view host,
                                  std::string_view path) const {
  const std::string_view plain_host = WithoutPort(host);
  // Prefixes end with a slash, so only cuts after a slash can match.
  for (auto slash = path.rfind('/'); slash != std::string_view::npos;) {
    const auto found =
        by_place_.find(PlaceKey(plain_host, path.substr(0, slash + 1)));
    if (found != by_place_.end())
      return &routes_[found->second];
    if (slash == 0)
      break;
    slash = path.rfind('/', slash - 1);
  }
  return nullptr;
}

const workspace* configuration::Holder(const std::string& key) const {
  const auto found = keys_.find(key);
  return found == keys_.end() ? nullptr : &found->second;
}

const service* configuration::FindService(std::string_view name) const {
  const auto found = services_.find(name);
  return found == services_.end() ? nullptr : &found->second;
}

}  // namespace flamingoshunt::gateway
