#!/usr/bin/env bash
# Measures what control costs an idle daemon: bytes and messages a second, processor time, memory, platform calls.
# usage: slopes.sh lorient|dakar [SECONDS]
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/deployment.sh
span=${2:-20}
bin/skylarkrelay config apply --wait --author slopes "$classes" >/dev/null
sleep 3
metric() { curl -s "$1:7405/metrics" | awk -v name="skylarkrelay_$2" '$1 == name { print $2 }'; }
ticks() { awk '{ print $14 + $15 }' "/proc/$1/stat"; }
sample() {
  for name in "${!file_of[@]}"; do
    echo "$name $(metric "${ip_of[$name]}" peer_bytes_sent) $(metric "${ip_of[$name]}" peer_bytes_received) $(ticks "${pid_of[$name]}") $(awk '/VmRSS/ { print $2 }' "/proc/${pid_of[$name]}/status")"
  done | sort
}
calls_before=$(curl -s "$net.100:7300/standin/calls")
sample >"$out/before"
sleep "$span"
sample >"$out/after"
echo "== $place, $count idle daemons, $span s: a daemon and second"
join "$out/before" "$out/after" | awk -v span="$span" -v hz="$(getconf CLK_TCK)" '{
  sent = ($6 - $2) / span; received = ($7 - $3) / span; cpu = 100 * ($8 - $4) / hz / span
  printf "%-20s sent %6.0f B  received %6.0f B  cpu %.2f%% of a core  memory %d kB\n", $1, sent, received, cpu, $9
  s += sent; r += received; c += cpu; m += $9; n++
} END { printf "mean                 sent %6.0f B  received %6.0f B  cpu %.2f%% of a core  memory %d kB\n", s/n, r/n, c/n, m/n }'
echo "platform calls before: $calls_before"
echo "platform calls after:  $(curl -s "$net.100:7300/standin/calls")"
