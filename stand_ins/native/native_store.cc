#include "stand_ins/native/native_store.h"

#include <boost/fiber/operations.hpp>

#include <utility>

#include "runtime/fiber_scheduler.h"

namespace flamingoshunt::stand_ins {
namespace {

namespace json = boost::json;

constexpr char kObjectsPath[] = "/-/objects/";
constexpr std::size_t kPageSize = 50;
constexpr std::size_t kMaxHistoryChanges = 5000;
constexpr auto kWatchPollInterval = std::chrono::milliseconds(10);

std::string QueryValue(const std::string& query, const std::string& name) {
  std::size_t start = 0;
  while (start < query.size()) {
    const auto end = std::min(query.find('&', start), query.size());
    const std::string part = query.substr(start, end - start);
    if (part.compare(0, name.size() + 1, name + "=") == 0)
      return part.substr(name.size() + 1);
    start = end + 1;
  }
  return "";
}

}  // namespace

native_store::native_store(boost::asio::io_context& loop,
                           const std::string& address)
    : server_(std::make_unique<runtime::http_server>(
          loop,
          address,
          runtime::http_server_options{},
          [this](auto& exchange) { Handle(exchange); })),
      second_server_(std::make_unique<runtime::http_server>(
          loop,
          address,
          runtime::http_server_options{},
          [this](auto& exchange) {
            if (refuse_second_address)
              SendJson(exchange, 503, json::object());
            else
              Handle(exchange);
          })) {}

void native_store::SendJson(runtime::http_exchange& exchange,
                            int status,
                            const json::value& body) const {
  exchange.SendWhole(status, "application/json", json::serialize(body),
                     {{"Store-Era", std::to_string(era_)}});
}

void native_store::Restore(const backup& copy) {
  kinds_ = copy.kinds;
  revision_ = copy.revision;
  history_.clear();
  ++era_;
  CutWatches();
}

void native_store::RecordChange(const std::string& kind,
                                const std::string& name,
                                bool deleted) {
  auto& objects = kinds_[kind];
  json::object& object = objects[name];
  ++revision_;
  if (!deleted)
    object["metadata"].as_object()["revision"] = revision_;
  history_.push_back({revision_, kind, deleted, object});
  if (deleted)
    objects.erase(name);
  if (history_.size() > kMaxHistoryChanges)
    history_.pop_front();
}

void native_store::Put(const std::string& kind,
                       const std::string& name,
                       json::value spec) {
  json::object& object = kinds_[kind][name];
  if (!object.contains("metadata"))
    object["metadata"] = {{"name", name},
                          {"created", revision_},
                          {"finalizers", json::array()},
                          {"deleting", false}};
  if (object.contains("spec") && object["spec"] == spec)
    return;
  object["spec"] = std::move(spec);
  object["status"] = nullptr;
  RecordChange(kind, name, false);
}

void native_store::Delete(const std::string& kind, const std::string& name) {
  if (kinds_[kind].contains(name))
    RecordChange(kind, name, true);
}

void native_store::Handle(runtime::http_exchange& exchange) {
  ++calls;
  const std::string target(exchange.request().target());
  const auto query_start = target.find('?');
  const std::string path = target.substr(0, query_start);
  const std::string query =
      query_start == std::string::npos ? "" : target.substr(query_start + 1);
  if (refuse_calls ||
      path.compare(0, sizeof(kObjectsPath) - 1, kObjectsPath) != 0) {
    SendJson(exchange, refuse_calls ? 503 : 404, json::object());
    return;
  }
  const std::string rest = path.substr(sizeof(kObjectsPath) - 1);
  const auto slash = rest.find('/');
  const std::string kind = rest.substr(0, slash);
  const std::string name =
      slash == std::string::npos ? "" : rest.substr(slash + 1);
  const auto method = exchange.request().method_string();
  if (method == "POST" || method == "PUT") {
    Write(exchange, kind, name);
  } else if (method == "DELETE") {
    Delete(kind, name);
    SendJson(exchange, 200, json::object());
  } else if (!name.empty()) {
    const auto it = kinds_[kind].find(name);
    if (it == kinds_[kind].end())
      SendJson(exchange, 404, json::object());
    else
      SendJson(exchange, 200, it->second);
  } else if (const auto watch = QueryValue(query, "watch"); !watch.empty()) {
    Watch(exchange, kind, std::stoull(watch),
          std::chrono::milliseconds(std::stoll(QueryValue(query, "wait_ms"))));
  } else {
    List(exchange, kind, QueryValue(query, "start_after"));
  }
}

void native_store::List(runtime::http_exchange& exchange,
                        const std::string& kind,
                        const std::string& after) {
  json::array items;
  bool more = false;
  const auto& objects = kinds_[kind];
  for (auto it = objects.upper_bound(after); it != objects.end(); ++it) {
    if (items.size() == kPageSize) {
      more = true;
      break;
    }
    items.push_back(it->second);
  }
  SendJson(exchange, 200,
           json::object{{"items", std::move(items)},
                        {"more", more},
                        {"store_revision", revision_}});
}

void native_store::Watch(runtime::http_exchange& exchange,
                         const std::string& kind,
                         std::uint64_t after,
                         base::duration wait) {
  const std::uint64_t oldest =
      history_.empty() ? revision_ + 1 : history_.front().revision;
  if (after + 1 < oldest || after > revision_) {
    SendJson(exchange, 410, json::object());
    return;
  }
  const auto end = std::chrono::steady_clock::now() + wait;
  const int cuts_before = watch_cuts_;
  while (true) {
    if (watch_cuts_ != cuts_before) {
      exchange.Abort();
      return;
    }
    json::array events;
    for (const change& change : history_) {
      if (change.revision > after && change.kind == kind)
        events.push_back(json::object{{"deleted", change.deleted},
                                      {"object", change.object}});
    }
    if (!events.empty() || std::chrono::steady_clock::now() >= end) {
      SendJson(exchange, 200,
               json::object{{"events", std::move(events)},
                            {"store_revision", revision_}});
      return;
    }
    boost::this_fiber::sleep_for(kWatchPollInterval);
  }
}

void native_store::Write(runtime::http_exchange& exchange,
                         const std::string& kind,
                         std::string name) {
  const auto body = json::parse(exchange.request().body()).as_object();
  const auto& metadata = body.at("metadata").as_object();
  const bool create = name.empty();
  if (create)
    name = metadata.at("name").as_string();
  auto& objects = kinds_[kind];
  const auto it = objects.find(name);
  if (create && it != objects.end()) {
    SendJson(exchange, 409, it->second);
    return;
  }
  if (!create && it == objects.end()) {
    SendJson(exchange, 404, json::object());
    return;
  }
  const auto* expected = metadata.if_contains("revision");
  if (!create && expected &&
      expected->to_number<std::uint64_t>() !=
          it->second["metadata"].at("revision").to_number<std::uint64_t>()) {
    SendJson(exchange, 409, it->second);
    return;
  }
  Put(kind, name, body.at("spec"));
  SendJson(exchange, create ? 201 : 200, objects[name]);
}

}  // namespace flamingoshunt::stand_ins
