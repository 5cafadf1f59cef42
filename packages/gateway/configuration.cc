#include "gateway/configuration.h"

#include <utility>

namespace flamingoshunt::gateway {
namespace {

// Hosts contain no space, so the joined key is unambiguous.
std::string RouteKey(std::string_view host, std::string_view prefix) {
  std::string key(host);
  key += ' ';
  key += prefix;
  return key;
}

std::string_view StripPort(std::string_view host) {
  const auto colon = host.rfind(':');
  const bool bracketed = !host.empty() && host.back() == ']';
  return colon == std::string_view::npos || bracketed ? host
                                                      : host.substr(0, colon);
}

}  // namespace

const model_layout* engine_profile::Find(std::string_view name) const {
  for (const model_layout& model : models) {
    if (model.name == name)
      return &model;
  }
  return nullptr;
}

configuration::configuration(std::uint64_t version,
                             std::vector<route> routes,
                             std::vector<service> services,
                             std::optional<key_map> keys,
                             caller_limits limits)
    : version_(version),
      routes_(std::move(routes)),
      keys_(std::move(keys)),
      limits_(limits) {
  for (std::size_t i = 0; i < routes_.size(); ++i)
    routes_by_prefix_[RouteKey(routes_[i].host, routes_[i].path_prefix)] = i;
  for (service& definition : services)
    services_.insert_or_assign(definition.name, std::move(definition));
}

const route* configuration::Match(std::string_view host,
                                  std::string_view path) const {
  const std::string_view plain_host = StripPort(host);
  // Prefixes end with a slash, so only substrings that do can match.
  for (auto slash = path.rfind('/'); slash != std::string_view::npos;) {
    const auto it =
        routes_by_prefix_.find(RouteKey(plain_host, path.substr(0, slash + 1)));
    if (it != routes_by_prefix_.end())
      return &routes_[it->second];
    if (slash == 0)
      break;
    slash = path.rfind('/', slash - 1);
  }
  return nullptr;
}

const workspace* configuration::FindWorkspace(const std::string& key) const {
  if (!keys_ || key.empty())
    return nullptr;
  const auto it = keys_->find(key);
  return it == keys_->end() ? nullptr : &it->second;
}

const service* configuration::FindService(std::string_view name) const {
  const auto it = services_.find(name);
  return it == services_.end() ? nullptr : &it->second;
}

}  // namespace flamingoshunt::gateway
