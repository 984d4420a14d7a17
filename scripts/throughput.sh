#!/usr/bin/env bash
# Measures the throughput of one entry with 4 agents and 4 targets that answer at
# once, as processes on loopback. Prints one row per run, REPEATS runs per load.
# Usage: scripts/throughput.sh [REPEATS]    (default 5; each run takes 6 s)
set -euo pipefail
cd "$(dirname "$0")/.."
repeats=${1:-5}
dir=$(mktemp -d)
go build -o "$dir/masticbay" .
pids=()
stop() { for p in "${pids[@]}"; do kill "$p" 2>/dev/null || true; done; wait 2>/dev/null || true; rm -rf "$dir"; }
trap stop EXIT
cd "$dir"
start() { ./masticbay "$1" --config "$2" 2>/dev/null & pids+=($!); }
printf 'role = "platform"\nhttp = "127.0.0.1:7600"\n' >p.toml
printf 'role = "entry"\nhttp = "127.0.0.1:7611"\nrpc = "127.0.0.1:7612"\nplatform = "http://127.0.0.1:7600"\n[policy]\nwindow = "20s"\n[limits]\ndeadline = "20s"\n' >e.toml
start platform p.toml
sleep 0.3
start entry e.toml
entry=${pids[1]}
for i in 1 2 3 4; do
  printf 'role = "agent"\nrpc = "127.0.0.1:76%d3"\nhttp = "127.0.0.1:76%d4"\nentries = ["127.0.0.1:7612"]\n[policy]\nwindow = "20s"\n' $i $i >a$i.toml
  printf 'role = "target"\nhttp = "127.0.0.1:76%d5"\nagent = "http://127.0.0.1:76%d4"\nname = "t%d"\nslots = 64\nmedian = "0s"\n' $i $i $i >t$i.toml
  start agent a$i.toml
  start target t$i.toml
done
sleep 4
tick=$(getconf CLK_TCK)
cpu() { awk '{print $14+$15}' "/proc/$entry/stat"; }
field() { grep -o "\"$1\": [0-9.]*" out.json | head -1 | cut -d' ' -f2; }
echo "| jobs | starts/s | cores | starts a core-second | mean ms | p99 ms | failed, refused, lost |"
echo "| --- | --- | --- | --- | --- | --- | --- |"
for load in "60 400" "5000 1"; do
  read -r rate tasks <<<"$load"
  for ((n = 0; n < repeats; n++)); do
    before=$(cpu)
    ./masticbay load --entries http://127.0.0.1:7611 --rate "$rate" --tasks "$tasks" --for 6s --run-millis 0 --output json >out.json
    after=$(cpu)
    awk -v r="$rate" -v t="$tasks" -v c=$((after - before)) -v k="$tick" -v s="$(field tasksPerSecond)" -v d="$(field tasksDone)" -v sec="$(field seconds)" \
      -v m="$(field meanMillis)" -v p="$(field p99Millis)" -v f="$(field failed)" -v x="$(field refused)" -v l="$(field lost)" \
      'BEGIN {c /= k; printf "| %d/s of %d | %d | %.2f | %d | %.2f | %.2f | %d, %d, %d |\n", r, t, s, c/sec, d/c, m, p, f, x, l}'
  done
done
