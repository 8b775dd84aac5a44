#!/usr/bin/env bash
# Measures how a change of the configuration reaches many daemons, and what control costs among many: N daemons and
# backend servers in plain processes, twelve to a service, over 22 failure domains.
# usage: relay.sh [N], at most 120
set -euo pipefail
cd "$(dirname "$0")/.."
count=${1:-48}
[ "$count" -le 120 ] || { echo "at most 120" >&2; exit 2; }
net=127.50.0
out=out/relay
rm -rf "$out"
mkdir -p "$out"
daemons=()
outside=()
stop_all() {
  kill -KILL "${daemons[@]}" "${outside[@]}" 2>/dev/null || true
  wait 2>/dev/null || true
}
trap stop_all EXIT
bin/standin platform --listen $net.200:7300 >"$out/platform.log" 2>&1 & outside+=($!)
for n in $(seq 1 "$count"); do
  {
    printf 'host = "h%d"\nfailure_domain = "d%d"\n[platform]\naddress = "%s.200:7300"\n' "$n" $((n % 22)) $net
    port=7401
    for part in caller hop peer backend operator; do
      printf '[%s]\nlisten = "%s.%d:%d"\n' $part $net "$n" $port
      port=$((port + 1))
    done
  } >"$out/h$n.toml"
  bin/skylarkrelay run "$out/h$n.toml" >"$out/h$n.log" 2>&1 & daemons+=($!)
  bin/standin backend --listen "$net.$n:7410" --daemon "$net.$n:7404" --name "h$n" --service "s$((n / 12))" >"$out/h$n-server.log" 2>&1 & outside+=($!)
done
export SKYLARKRELAY_DAEMON=$net.1:7405
bin/standin await --daemon $SKYLARKRELAY_DAEMON --active "$count" --balanced --timeout 90s
echo "== $count daemons"
echo "platform calls for the start: $(curl -s $net.200:7300/standin/calls)"
for revision in 0 1 2; do
  bin/skylarkrelay config apply --wait --revision $revision --author relay examples/lorient/classes.toml >/dev/null
done
bin/skylarkrelay timeline --kind configuration --json >"$out/timeline.jsonl"
for revision in 1 2 3; do
  grep "\"detail\":\"revision $revision\"" "$out/timeline.jsonl" | grep -o '"wall_ns":[0-9]*' | cut -d: -f2 | sort -n |
    awk -v r=$revision '{ t[NR] = $1 } END { printf "revision %d: %d daemons, half after %.1f ms, all after %.1f ms\n", r, NR, (t[int((NR+1)/2)]-t[1])/1e6, (t[NR]-t[1])/1e6 }'
done
bytes() { for n in $(seq 1 "$count"); do curl -s "$net.$n:7405/metrics"; done | awk '/peer_bytes_sent/ { s += $2 } END { print s }'; }
ticks() { for pid in "${daemons[@]}"; do cat "/proc/$pid/stat"; done | awk '{ s += $14 + $15 } END { print s }'; }
sleep 3
before=$(bytes) ticks_before=$(ticks)
sleep 10
after=$(bytes) ticks_after=$(ticks)
memory=$(for pid in "${daemons[@]}"; do grep VmRSS "/proc/$pid/status"; done | awk '{ s += $2 } END { print s }')
awk -v b="$before" -v a="$after" -v tb="$ticks_before" -v ta="$ticks_after" -v m="$memory" -v n="$count" \
  'BEGIN { printf "idle: sent %.0f B a second and daemon, %.2f%% of a core, %.0f MB\n", (a-b)/10/n, (ta-tb)/10/n, m/n/1024 }'
