#!/usr/bin/env bash
# Measures what the relay adds to a call: straight to a backend server, through the owner's daemon, and through
# another daemon. The server checks nothing and does no work.
set -euo pipefail
cd "$(dirname "$0")/.."
net=127.30.0
out=out/hop
rm -rf "$out"
mkdir -p "$out"
pids=()
trap 'kill -TERM "${pids[@]:1}" 2>/dev/null; wait "${pids[@]:1}" 2>/dev/null || true; kill "${pids[0]}"' EXIT
bin/standin platform --listen $net.100:7300 & pids+=($!)
for n in 1 2; do
  sed "s/127\\.10\\.0\\.$n:/$net.$n:/; s/127\\.10\\.0\\./$net./" "examples/lorient/lot-register-$n.toml" >"$out/$n.toml"
  bin/skylarkrelay run "$out/$n.toml" >"$out/$n.log" 2>&1 & pids+=($!)
  bin/standin backend --unchecked --service-time 0s --listen $net.$n:7410 --daemon $net.$n:7404 --name $n --service lot-register & pids+=($!)
done
export SKYLARKRELAY_DAEMON=$net.1:7405
bin/standin await --daemon $SKYLARKRELAY_DAEMON --active 2 --balanced
bin/skylarkrelay config apply --wait examples/lorient/classes.toml >/dev/null
owner=$(bin/standin call http://$net.1:7401/lots/k0/certificate | sed 's/.*"server":"\([12]\)".*/\1/')
other=$((3 - owner))
ticks() { awk '{ print $14 + $15 }' /proc/"$1"/stat; }
run() { # TITLE ENTRY FLAGS...
  local title=$1 entry=$2
  shift 2
  before=$(($(ticks "${pids[1]}") + $(ticks "${pids[3]}")))
  row=$(bin/standin load --classes examples/lorient/classes.toml --entry "$entry" --default-rate 0 --rate certificate-lookup:${RATE:-2000} --keys 1 --duration 5s "$@" | grep certificate-lookup)
  after=$(($(ticks "${pids[1]}") + $(ticks "${pids[3]}")))
  echo "$title: $row"
  echo "  daemons' processor time: $(echo "$after $before ${RATE:-2000}" | awk '{ printf "%.0f us a call", ($1 - $2) * 1e6 / 100 / ($3 * 5) }')"
}
run "straight          " $net.$owner:7410 --direct
run "owner's daemon    " $net.$owner:7401
run "another daemon    " $net.$other:7401
