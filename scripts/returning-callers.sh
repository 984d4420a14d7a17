#!/usr/bin/env bash
# Prepares plays of the users' bench in which callers come back: a client submits a job
# again, at any entry, after no answer, a broken connection, 502 or 504.
#
# Usage: scripts/returning-callers.sh SITE DIR [DAYS [SEED [FAMILY]]]
#
# Copies the site file SITE to DIR with returning callers, and its two companion files, and
# writes DAYS (default 10) days NAME.toml to DIR/days. The days are drawn from the seeds SEED
# (default 1) onwards; the same seed gives the same day. FAMILY is one of again, dense, lost,
# kills, config, orders, agents and reborn (default: any but kills). DIR must be outside the
# repository: the copies belong to the bench. Then, for each day, and as a trial:
#
#     fleetbench run DIR/SITE.toml DIR/days/NAME.toml --no-cpu --log all --why "Trial: ..."
set -euo pipefail
if [ $# -lt 2 ] || [ $# -gt 5 ]; then
  echo "usage: $0 SITE DIR [DAYS [SEED [FAMILY]]]" >&2
  exit 2
fi
site=$1 days=${3:-10} seed=${4:-1} family=${5:-}
dir=$(realpath -m -- "$2")
root=$(cd "$(dirname "$0")/.." && pwd -P)
case $dir/ in
"$root"/*)
  echo "$0: $dir is in the repository" >&2
  exit 2
  ;;
esac

mkdir -p "$dir/days"
copy=$dir/$(basename "$site")
sed 's/\bretries = 0\b/retries = 3/g' "$site" >"$copy"
if cmp -s "$site" "$copy"; then
  echo "$0: no class of $site has retries = 0" >&2
  exit 1
fi
cp -f "${site%.toml}.days" "$(dirname "$site")/wire.json" "$dir/"

for ((s = seed; s < seed + days; s++)); do
  awk -v seed="$s" -v only="$family" '
    # The generator of Park and Miller, so that a seed gives the same day under any awk.
    function draw() { state = (state * 16807) % 2147483647; return state / 2147483647 }
    function between(lo, hi) { return lo + draw() * (hi - lo) }
    function pick(list,   w) { return w[1 + int(draw() * split(list, w, "|"))] }
    function num(name, lo, hi) { return sprintf(", %s = %.2f", name, between(lo, hi)) }
    function how(list) { return ", how = \"" pick(list) "\"" }
    function entry(at, kind, rest) { printf "  { at = %.2f, kind = \"%s\"%s },\n", at, kind, rest }

    # disruption writes one disruption of the given type.
    function disruption(at, type) {
      if (type == "entry-cut") entry(at, "node_cut", ", on = \"front\"" num("share", 0.2, 0.6) num("for_s", 0.5, 3) how("|all|all race|all leader meet|leader|reset|refuse"))
      else if (type == "split") entry(at, "core_cut", ", count = " pick("1|2") num("for_s", 0.7, 4) how("|leader|leader race|split|near|one_way|both|lure|relieve|reset"))
      else if (type == "entry-kill") entry(at, "node_kill", ", on = \"front\"" num("share", 0.2, 0.5) how("|power|giver hard|leader drain|leader race drain"))
      else if (type == "entry-freeze") entry(at, "node_freeze", ", on = \"front\"" num("share", 0.25, 0.6) num("for_s", 0.5, 2) how("renewed hard|follower|follower hard|follower race|leader"))
      else if (type == "entry-slow") entry(at, "node_slow", ", on = \"front\"" num("share", 0.3, 0.8) num("x", 4, 12) num("for_s", 1.5, 5))
      else if (type == "all-killed") entry(at, "herd_kill", ", on = \"core\", share = 1.0" num("for_s", 0.2, 2) how("|power"))
      else if (type == "accept-kill") entry(at, "after_ack_kill", num("for_s", 0.5, 3) how("kill|timed|taken"))
      else if (type == "replace") entry(at, "replace_core", num("x", 0.2, 2) how("|planned|leader"))
      else if (type == "reset") entry(at, "reset_conns", num("share", 0.4, 1) num("x", 0.4, 0.95) how("|mute"))
      else if (type == "late") entry(at, "applied_late", num("share", 0.4, 1) num("x", 0.1, 0.5) num("for_s", 2, 6) how("orders|all"))
      else if (type == "long") entry(at, "poison", num("share", 0.2, 0.5) num("x", 4, 9) num("for_s", 3, 6) ", how = \"long\"")
      else if (type == "burst") entry(at, "burst", num("x", 1.2, 2) num("for_s", 2, 3.5))
      else if (type == "worker-slow") entry(at, "srv_slow", num("share", 0.3, 0.65) num("x", 4, 8) num("for_s", 2, 4))
      else if (type == "worker-crash") entry(at, "srv_crash", num("share", 0.1, 0.35) num("for_s", 1, 4) how("|dark|rack"))
      else if (type == "reborn") entry(at, "node_cut", num("share", 0.2, 0.5) num("for_s", 3.5, 9) ", how = \"servers reborn\"")
      else if (type == "agent-freeze") entry(at, "node_freeze", ", on = \"side\"" num("share", 0.2, 0.5) num("for_s", 0.4, 2) how("|turn|turn meet|giver hard|giver race"))
      else if (type == "agent-kill") entry(at, "node_kill", ", on = \"side\"" num("share", 0.15, 0.4) how("|power|giver hard"))
      else if (type == "agent-cut") entry(at, "node_cut", ", on = \"side\"" num("share", 0.2, 0.5) num("for_s", 0.4, 2.5) how("|all|reset"))
      else if (type == "store") {
        if (draw() < 0.5) entry(at, "platform_lost", num("x", 0.2, 0.6) num("for_s", 1, 4.5) how("|late"))
        else entry(at, pick("platform_down|platform_slow"), num("x", 20, 60) num("for_s", 1, 4.5))
      }
      else if (type == "config") entry(at, "config_change", how("timeout|idle"))
    }

    BEGIN {
      state = seed + 1
      for (i = 0; i < 10; i++) # the square keeps neighbouring seeds from giving similar days
        state = (16807 * state + (state % 46337) * (state % 46337) + seed) % 2147483646 + 1
      homes = "entry-cut|split|entry-kill|entry-freeze|entry-slow"
      family = pick("again|again|again|dense|dense|lost|lost|config|orders|agents|reborn")
      if (only != "") family = only
      types["again"] = homes "|reset|late|late|long|burst|worker-slow|agent-freeze"
      types["dense"] = homes "|reset|late|long|burst|worker-slow|worker-crash|reborn|agent-freeze|agent-kill|agent-cut|store|config"
      types["lost"] = "entry-kill|entry-kill|entry-kill|all-killed|accept-kill|replace|entry-freeze|split|late|long|reset"
      types["config"] = homes "|entry-kill|entry-kill|config|config|late|long"
      types["kills"] = "entry-kill|entry-kill|entry-kill|entry-kill|entry-freeze|long|reset"
      types["orders"] = "entry-cut|entry-kill|late|late|late|long|reset"
      types["agents"] = "entry-kill|entry-cut|agent-freeze|agent-freeze|agent-kill|agent-kill|agent-cut|late|long|reset"
      types["reborn"] = "reborn|reborn|late|entry-kill|worker-crash|long"
      if (!(family in types)) {
        print "unknown family " family > "/dev/stderr"
        exit 2
      }
      printf "name = \"%s%d\"\nslot = \"trouble\"\nseed = %d\nplan = [\n", family, seed, 520000 + seed
      for (at = between(2.5, 4.5); at < 28.5; at += between(3, 7))
        entry(at, "roll_term", num("share", 0.3, 1) ", x = 1.0" num("gap_s", 0.3, 1) how("|busy|leader|leader busy"))
      if (family == "config")
        for (at = between(1, 3); at < 29; at += between(1, 3)) disruption(at, "config")
      print "]\nfaults = ["
      for (at = 0.5; at < 27; at += between(5, 7))
        entry(at, "give_up", num("share", 0.3, 0.9) num("x", 50, 500) num("for_s", 3, 6))
      for (at = between(1, 2); at < 28.5; at += between(0.7, 2.4)) disruption(at, pick(types[family]))
      print "]"
    }' >"$dir/days/.day"
  name=$(awk -F'"' '/^name/ { print $2; exit }' "$dir/days/.day")
  mv "$dir/days/.day" "$dir/days/$name.toml"
done
