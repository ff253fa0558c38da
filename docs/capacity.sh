#!/usr/bin/env bash
# Starts single processes on loopback and prints their memory and processor time, for docs/CAPACITY.md.
set -euo pipefail
cd "$(dirname "$0")/.."
d=$(mktemp -d)
trap 'rm -rf "$d"' EXIT
go build -o "$d/node" .
go test -c -o "$d/load" ./io/peer

settings() { # name, first port, address of the replica, more fields
  printf '{"name":"%s","region":"region-0","domain":"domain-0","replicas":[{"name":"source","address":"%s"}],"listen":{"caller":"127.0.0.1:%d","local":"127.0.0.1:%d","backend":"127.0.0.1:%d","peer":"127.0.0.1:%d","operator":"127.0.0.1:%d","metrics":"127.0.0.1:%d"}%s}' \
    "$1" "$3" "$2" $(($2 + 1)) $(($2 + 2)) $(($2 + 3)) $(($2 + 4)) $(($2 + 5)) "$4"
}

show() { # label, process: memory, and processor time since the process started
  read -r _ _ _ _ _ _ _ _ _ _ _ _ _ user system _ <"/proc/$2/stat"
  awk -v label="$1" -v busy=$(((user + system) * 1000 / $(getconf CLK_TCK))) \
    '/^VmRSS/ {r = $2} /^VmHWM/ {h = $2} END {printf "Resident/%-32s  %d KB  %d peak-KB  %d ms-busy\n", label, r, h, busy}' "/proc/$2/status"
}

node() {
  local load node
  settings node-2099 17001 127.0.0.1:17099 "" >"$d/node.json"
  CAPACITY_SOURCE=127.0.0.1:17099 "$d/load" -test.run '^$' -test.bench CapacitySource -test.benchtime 1x >"$d/source" 2>&1 &
  load=$!
  sleep 1
  "$d/node" node "$d/node.json" 2>"$d/node.log" &
  node=$!
  sleep 3; show node/joined $node
  sleep 15; show node/rest $node
  sleep 7; show node/peers $node
  sleep 11; show node/burst $node
  sleep 11; show relay/rest $node
  sleep 12; show relay/burst $node
  kill $node
  wait $load || cat "$d/source"
}

leader() { # nodes, first port
  local load node
  mkdir "$d/data-$1"
  settings source "$2" "127.0.0.1:$(($2 + 3))" ",\"data\":\"$d/data-$1\"" >"$d/replica-$1.json"
  "$d/node" node "$d/replica-$1.json" 2>"$d/replica-$1.log" &
  node=$!
  sleep 2
  "$d/node" apply --register "$d/register.json" --reason capacity --author capacity --at "127.0.0.1:$(($2 + 4))" >"$d/applied-$1" || cat "$d/applied-$1"
  CAPACITY_LEADER="127.0.0.1:$(($2 + 3))" CAPACITY_NODES=$1 "$d/load" -test.run '^$' -test.bench CapacityRelays -test.benchtime 1x >"$d/relays-$1" 2>&1 &
  load=$!
  sleep 8; show "leader/joined/nodes=$1" $node
  sleep 12; show "leader/rest/nodes=$1" $node
  kill $node
  wait $load || cat "$d/relays-$1"
}

awk 'BEGIN { printf "{\"services\":["; for (i = 0; i < 220; i++) printf "%s{\"name\":\"service-%03d\",\"slots\":12,\"connections\":130}", i ? "," : "", i
  printf "],\"domains\":["; for (i = 0; i < 12; i++) printf "%s{\"name\":\"domain-%d\",\"region\":\"region-%d\"}", i ? "," : "", i, i % 4; print "]}" }' >"$d/register.json"

node &
leader 525 17201 &
leader 2100 17301 &
wait
