# Starts a deployment in plain processes on loopback addresses. To be sourced, with the place as first argument.
# Sets $net, $count, $out and $classes, and stops everything when the script ends.
place=${1:-lorient}
case $place in
  lorient) net=127.10.0; connections=120 ;;
  dakar) net=127.20.0; connections=65 ;;
  *) echo "unknown place $place: lorient or dakar" >&2; exit 2 ;;
esac
out=out/$place
rm -rf "$out"
mkdir -p "$out"
declare -A pid_of file_of ip_of
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
  pid_of[$name]=$!
}

start outside platform bin/standin platform --listen "$net.100:7300"
count=0
entries=()
for file in $(ls examples/"$place"/*.toml | grep -v classes.toml | sort -V); do
  name=$(basename "$file" .toml)
  ip=$(sed -n '/^\[caller\]/,/^\[hop\]/s/^listen = "\(.*\):.*/\1/p' "$file")
  file_of[$name]=$file
  ip_of[$name]=$ip
  start daemons "$name" bin/skylarkrelay run "$file"
  start outside "$name-server" bin/standin backend --listen "$ip:7410" --daemon "$ip:7404" --name "$name" \
    --service "${name%-*}" --connections "$connections"
  count=$((count + 1))
  entries+=(--entry "$ip:7401")
done

classes=examples/$place/classes.toml
export SKYLARKRELAY_DAEMON=$net.1:7405
bin/standin await --daemon "$SKYLARKRELAY_DAEMON" --active "$count" --balanced
