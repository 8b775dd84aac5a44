#!/usr/bin/env bash
# Starts the deployment of Lorient (or Dakar) in plain processes on loopback addresses, sends calls of each class,
# prints where each ran and the time line, and stops everything.
set -euo pipefail
cd "$(dirname "$0")/.."
place=${1:-lorient}
case $place in
  lorient) net=127.10.0; connections=120 ;;
  dakar) net=127.20.0; connections=65 ;;
  *) echo "usage: demo.sh lorient|dakar" >&2; exit 2 ;;
esac
out=out/demo-$place
rm -rf "$out"
mkdir -p "$out"
daemons=()
outside=()
stop() { # PID...
  for pid in "$@"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "$@"; do wait "$pid" 2>/dev/null || true; done
}
# The daemons go first: they write to the platform that they have left.
stop_all() {
  stop "${daemons[@]}"
  stop "${outside[@]}"
}
trap stop_all EXIT

start() { # LIST NAME COMMAND...
  local -n list=$1
  local name=$2
  shift 2
  "$@" >"$out/$name.log" 2>&1 &
  list+=($!)
}

start outside platform bin/standin platform --listen "$net.100:7300"
i=0
for file in $(ls examples/"$place"/*.toml | grep -v classes.toml | sort -V); do
  name=$(basename "$file" .toml)
  ip=$(sed -n '/^\[caller\]/,/^\[hop\]/s/^listen = "\(.*\):.*/\1/p' "$file")
  start daemons "$name" bin/skylarkrelay run "$file"
  start outside "$name-server" bin/standin backend --listen "$ip:7410" --daemon "$ip:7404" --name "$name" \
    --service "${name%-*}" --connections "$connections"
  i=$((i + 1))
done

export SKYLARKRELAY_DAEMON=$net.1:7405
echo "== $i daemons start"
bin/standin await --daemon "$SKYLARKRELAY_DAEMON" --active "$i" --balanced
bin/skylarkrelay status
echo "== operators put the classes in force"
bin/skylarkrelay config apply --wait --author demo "examples/$place/classes.toml"
echo "== one call of each class"
while read -r method path; do
  echo "$method $path"
  bin/standin call --method "$method" --body work "http://$net.2:7401$path"
done < <(sed -n 's/^method = "\(.*\)"/\1/p;s/^path = "\(.*\)"/\1/p' "examples/$place/classes.toml" | paste -d' ' - - |
  sed 's/{[a-z]*}/A-1047/')
echo "== three seconds of load on all daemons"
entries=()
for n in $(seq 1 "$i"); do entries+=(--entry "$net.$n:7401"); done
bin/standin load --classes "examples/$place/classes.toml" "${entries[@]}" --default-rate 60 --duration 3s --strict
echo "== the time line, without the calls"
bin/skylarkrelay timeline | grep -v ' call ' | tail -n 40
echo "== done"
