#!/usr/bin/env bash
# Measures the cost of the control plane at several sizes: real entries, and
# lightweight agents in one process, on loopback, without jobs. Prints one row
# per size.
# Usage: scripts/capacity.sh [SECONDS]    (measuring time per size; default 20)
set -euo pipefail
cd "$(dirname "$0")/.."
seconds=${1:-20}
dir=$(mktemp -d)
go build -o "$dir/masticbay" .
tick=$(getconf CLK_TCK)
pids=()
stop() { for p in "${pids[@]}"; do kill "$p" 2>/dev/null || true; done; wait 2>/dev/null || true; pids=(); }
trap 'stop; rm -rf "$dir"' EXIT
cpu() { awk '{print $14+$15}' "/proc/$1/stat"; }
rss() { awk '/VmRSS/ {print $2}' "/proc/$1/status"; }
field() { curl -sf "$1" | grep -o "\"$2\":[0-9]*" | head -1 | cut -d: -f2; }

echo "| entries | agents | entry: messages/s | bytes/s | % of a core | MB | agent: messages/s | bytes/s | % of a core | KB | key-value calls/s |"
echo "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"
for size in "2 10" "2 40" "2 160" "2 320" "4 160" "8 160" "16 160"; do
  read -r entries agents <<<"$size"
  printf 'role = "platform"\nhttp = "127.0.0.1:7300"\nlogLevel = "error"\n' >"$dir/p.toml"
  rpcs=""
  for ((i = 0; i < entries; i++)); do rpcs+="\"127.0.0.1:$((7501 + 2 * i))\", "; done
  for ((i = 0; i < entries; i++)); do
    printf 'role = "entry"\nhttp = "127.0.0.1:%d"\nrpc = "127.0.0.1:%d"\nplatform = "http://127.0.0.1:7300"\npeers = [%s]\n[common]\nlogLevel = "error"\n' \
      $((7500 + 2 * i)) $((7501 + 2 * i)) "${rpcs%, }" >"$dir/e$i.toml"
  done
  printf 'role = "agent"\nrpc = "127.0.0.1:0"\nhttp = "127.0.0.1:0"\nentries = [%s]\n' "${rpcs%, }" >"$dir/a.toml"
  "$dir/masticbay" platform --config "$dir/p.toml" & pids+=($!)
  sleep 0.3
  for ((i = 0; i < entries; i++)); do "$dir/masticbay" entry --config "$dir/e$i.toml" & pids+=($!); done
  entry=${pids[1]}
  sleep 1
  settle=$((15 + agents / 20))
  "$dir/masticbay" fleet --config "$dir/a.toml" --count "$agents" --for $((settle + seconds + 3))s >"$dir/fleet.json" & fleet=$!
  pids+=("$fleet")
  sleep "$settle"
  url=http://127.0.0.1:7500/v1/status
  m0=$(field $url messagesSent); b0=$(field $url bytesSent); c0=$(cpu "$entry"); f0=$(cpu "$fleet")
  k0=$(($(field http://127.0.0.1:7300/calls reads) + $(field http://127.0.0.1:7300/calls writes)))
  sleep "$seconds"
  m1=$(field $url messagesSent); b1=$(field $url bytesSent); c1=$(cpu "$entry"); f1=$(cpu "$fleet")
  k1=$(($(field http://127.0.0.1:7300/calls reads) + $(field http://127.0.0.1:7300/calls writes)))
  emb=$(($(rss "$entry") / 1024)); fkb=$(($(rss "$fleet") / agents))
  wait "$fleet" || true
  total=$((settle + seconds + 3))
  fm=$(grep -o '"messagesSent":[0-9]*' "$dir/fleet.json" | cut -d: -f2); fb=$(grep -o '"bytesSent":[0-9]*' "$dir/fleet.json" | cut -d: -f2)
  awk -v e="$entries" -v a="$agents" -v s="$seconds" -v t="$total" -v k="$tick" -v m=$((m1 - m0)) -v b=$((b1 - b0)) -v c=$((c1 - c0)) -v mb="$emb" \
    -v fm="$fm" -v fb="$fb" -v fc=$((f1 - f0)) -v fk="$fkb" -v kc=$((k1 - k0)) \
    'BEGIN {printf "| %d | %d | %.1f | %.0f | %.2f | %d | %.2f | %.0f | %.3f | %d | %.2f |\n", e, a, m/s, b/s, 100*c/k/s, mb, fm/t/a, fb/t/a, 100*fc/k/s/a, fk, kc/s}'
  stop
  sleep 1
done
