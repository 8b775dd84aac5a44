#!/usr/bin/env bash
# Measures how long keys are unavailable, and how calls end, while something fails under load.
# usage: measure.sh lorient|dakar SCENARIO, with one of: none drain kill freeze-daemon freeze-server kill-server
# freeze-host outage outage-kill lost-answers rolling
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/deployment.sh
scenario=${2:-none}
rate=${RATE:-60}
seconds=${SECONDS_OF_LOAD:-6}
# The reads come often enough that each key is asked for ten times a second.
case $place in
  lorient) victim=lot-register-5; reads=certificate-lookup ;;
  *) victim=catalogue-5; reads=order-check ;;
esac
bin/skylarkrelay config apply --wait --author measure "$classes" >/dev/null
calls_before=$(curl -s "$net.100:7300/standin/calls")
bin/standin load --classes "$classes" "${entries[@]}" --default-rate "$rate" --rate "$reads:600" --duration "${seconds}s" --keys 60 >"$out/load.txt" &
load=$!
sleep 1
fault() { bin/standin fault "$1" "$2"; }
case $scenario in
  none) ;;
  drain) kill -TERM "${pid_of[$victim]}" ;;
  kill) kill -KILL "${pid_of[$victim]}" ;;
  freeze-daemon) kill -STOP "${pid_of[$victim]}"; sleep 3; kill -CONT "${pid_of[$victim]}" ;;
  freeze-server) kill -STOP "${pid_of[$victim-server]}"; sleep 3; kill -CONT "${pid_of[$victim-server]}" ;;
  kill-server) kill -KILL "${pid_of[$victim-server]}" ;;
  freeze-host) kill -STOP "${pid_of[$victim]}" "${pid_of[$victim-server]}"; sleep 3; kill -CONT "${pid_of[$victim]}" "${pid_of[$victim-server]}" ;;
  outage) fault "$net.100:7300" '{"down":true}'; sleep 3; fault "$net.100:7300" '{}' ;;
  outage-kill) fault "$net.100:7300" '{"down":true}'; kill -KILL "${pid_of[$victim]}"; sleep 3; fault "$net.100:7300" '{}' ;;
  lost-answers) fault "$net.100:7300" '{"lose_answers":3}'; kill -KILL "${pid_of[$victim]}" ;;
  rolling)
    for name in $(printf '%s\n' "${!file_of[@]}" | sort -V); do
      kill -TERM "${pid_of[$name]}"
      wait "${pid_of[$name]}" || echo "$name: exit $?"
      start daemons "$name" bin/skylarkrelay run "${file_of[$name]}"
      bin/standin await --daemon "${ip_of[$name]}:7405" --active "$count" --balanced
    done
    ;;
  *) echo "unknown scenario $scenario" >&2; exit 2 ;;
esac
wait "$load"
echo "== $place, $scenario"
cat "$out/load.txt"
bin/skylarkrelay timeline --json >"$out/timeline.jsonl" 2>/dev/null || true
echo "platform calls before: $calls_before"
echo "platform calls after:  $(curl -s "$net.100:7300/standin/calls")"
