#!/usr/bin/env bash
# Starts the deployment of Lorient (or Dakar), sends calls of each class, prints where each ran and the time line,
# and stops everything.
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/deployment.sh
echo "== $count daemons run"
bin/skylarkrelay status
echo "== operators put the classes in force"
bin/skylarkrelay config apply --wait --author demo "$classes"
echo "== one call of each class"
while read -r method path; do
  echo "$method $path"
  bin/standin call --method "$method" --body work "http://$net.2:7401$path"
done < <(sed -n 's/^method = "\(.*\)"/\1/p;s/^path = "\(.*\)"/\1/p' "$classes" | paste -d' ' - - |
  sed 's/{[a-z]*}/A-1047/')
echo "== three seconds of load on all daemons"
bin/standin load --classes "$classes" "${entries[@]}" --default-rate 60 --duration 3s --strict
echo "== the time line, without the calls"
bin/skylarkrelay timeline | grep -v ' call ' | tail -n 40
echo "== done"
