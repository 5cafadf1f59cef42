#!/usr/bin/env bash
# Installs what is missing, builds, and runs the main job on stand-ins: a
# platform, twelve endpoint instances in three failure domains, three entry
# nodes, a streamed completion that loses its replica midway, and a call that
# must run at most once.
set -euo pipefail
cd "$(dirname "$0")"
.ci/install
cmake --preset release >/dev/null
cmake --build --preset release --target flamingoshuntd flamingoshuntctl \
  flamingoshunt_platform_stand_in flamingoshunt_endpoint_stand_in example_call_entry_node

bin=$PWD/build/release
work=$(mktemp -d)
pids=()
finish() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$work"
}
trap finish EXIT
say() { printf '\n== %s\n' "$*"; }
start() { "$@" >"$work/out.${#pids[@]}" 2>&1 & pids+=($!); }
ctl() { "$bin/packages/control/flamingoshuntctl" --config "$work/n1.json" \
  --node 127.0.0.1:18301 --node 127.0.0.1:18302 --node 127.0.0.1:18303 "$@"; }
call() { "$bin/examples/example_call_entry_node" "$@"; }

say "a platform, 12 endpoint instances, 3 entry nodes"
start "$bin/stand_ins/flamingoshunt_platform_stand_in" --listen 127.0.0.1:18000
sleep 0.3
start "$bin/stand_ins/flamingoshunt_endpoint_stand_in" --platform 127.0.0.1:18000 \
  --control 127.0.0.1:18001 --instances 12 --instances-per-fabric 4 --region bc-south \
  --failure-domain abbotsford --failure-domain chilliwack --failure-domain langley \
  --token-delay-us 20000
domains=(abbotsford chilliwack langley)
for i in 1 2 3; do
  sed -e "s/\"abbotsford-1\"/\"n$i\"/" -e "s/\"abbotsford\"/\"${domains[$((i - 1))]}\"/" \
    -e "s/127.0.0.1:18080/127.0.0.1:1810$i/" -e "s/127.0.0.1:18081/127.0.0.1:1820$i/" \
    -e "s/127.0.0.1:18082/127.0.0.1:1830$i/" examples/fraser-valley/settings.json > "$work/n$i.json"
  start "$bin/packages/daemon/flamingoshuntd" --config "$work/n$i.json"
done
sleep 1

say "the operator applies a catalogue: 2 replicas of 3 instances, 2 of a service"
ctl apply examples/fraser-valley/catalogue-demo.json --wait
sleep 4
ctl status

say "a streamed completion through node 1; its replica loses an instance midway"
call 127.0.0.1:18101 demo-key-dispatch /v1/completions \
  '{"model":"ripen-llm","prompt":"Plan room 4","stream":true,"max_tokens":60}' > "$work/stream" &
stream=$!
sleep 0.6
for instance in i-4 i-8; do
  call 127.0.0.1:18001 none /faults "{\"instance\":\"$instance\",\"dead\":true}" >/dev/null
  break
done
wait $stream
printf 'chunks received: %s, ' "$(grep -c '"text"' "$work/stream")"
grep -q 'data: \[DONE\]' "$work/stream" && echo "and the stream is complete"

say "a pallet release with an Idempotency-Key, sent to node 2 and again to node 3"
for node in 2 3; do
  call 127.0.0.1:1810$node demo-key-dispatch /services/room-ops/pallets/release '{"pallet":17}' pallet-17
done

say "a workspace's key that nobody knows is refused, and surely not run"
call 127.0.0.1:18103 wrong-key /v1/completions '{"model":"ripen-llm","prompt":"x"}' || true

say "the replica is repaired with a spare instance or reported as lacking one"
sleep 6
ctl status

say "every node stops gracefully"
for i in 2 3 4; do kill "${pids[$i]}"; done
for i in 2 3 4; do wait "${pids[$i]}" && echo "node $((i - 1)) stopped with nothing cut"; done
