#include "stand_ins/client_fleet.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace flamingoshunt::stand_ins {

client_fleet::client_fleet(int nodes,
                           const store::client_options& options,
                           std::uint64_t seed)
    : options_(options), seed_(seed) {
  for (int i = 0; i < nodes; ++i)
    clients_.emplace_back(options_, base::random_engine(seed_ + i));
}

void client_fleet::Submit(int node, const store::call& request) {
  Carry(node, clients_[node].Submit(request, now_));
}

void client_fleet::Watch(int node, store::watch_id id, std::string kind) {
  Carry(node, clients_[node].Watch(id, std::move(kind), now_));
}

void client_fleet::Restart(int node) {
  platform.Disconnect(node);
  const auto fresh_seed = seed_ + 1000 * ++restarts_ + node;
  clients_[node] = store::client(options_, base::random_engine(fresh_seed));
}

void client_fleet::RunUntil(base::time_point end) {
  Settle();
  for (auto next = NextTimer(); next && *next <= end; next = NextTimer()) {
    AdvanceTo(*next);
    Settle();
  }
  AdvanceTo(end);
}

void client_fleet::Settle() {
  while (DeliverDue()) {
  }
}

std::optional<base::time_point> client_fleet::NextTimer() {
  std::optional<base::time_point> next = platform.NextTimer();
  for (store::client& each : clients_) {
    const auto timer = each.NextTimer(now_);
    if (timer && (!next || *timer < *next))
      next = timer;
  }
  return next;
}

bool client_fleet::DeliverDue() {
  for (int i = 0; i < size(); ++i) {
    const auto timer = clients_[i].NextTimer(now_);
    if (timer && *timer <= now_)
      Carry(i, clients_[i].Tick(now_));
  }
  const auto due = platform.Due(now_);
  for (const platform_delivery& delivery : due) {
    std::visit(
        [&](const auto& message) {
          Carry(delivery.client,
                clients_[delivery.client].Handle(message, now_));
        },
        delivery.message);
  }
  return !due.empty();
}

void client_fleet::Carry(int node, store::client_effects effects) {
  for (const store::watch_id id : effects.stop_watches)
    platform.StopWatch(node, id);
  for (const store::call& request : effects.send)
    platform.Send(node, request, now_);
  for (const store::watch_request& request : effects.start_watches)
    platform.StartWatch(node, request, now_);
  for (const store::reply& answer : effects.replies) {
    if (on_reply)
      on_reply(node, answer);
  }
  for (const store::watch_event& event : effects.events) {
    if (on_event)
      on_event(node, event);
  }
}

}  // namespace flamingoshunt::stand_ins
