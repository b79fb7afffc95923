# Functions that configure and start a fleet on loopback. Source scripts/lib.sh
# first, call wf_begin and set the arrays `zones` (a control VM for each entry)
# and `services` (a node and a target for each entry).
#
# Ports from wf_base on: three per control VM (peers, nodes, API), then four per
# target VM (callers, peers, local, target).

fleet_controls=0
fleet_nodes=0

# fleet_plan CONTROL_VMS NODES: sets the size of the fleet.
fleet_plan() {
  fleet_controls=$1
  fleet_nodes=$2
}

fleet_control_port() { echo $((wf_base + 3 * $1 + $2)); }

# fleet_address ROLE INDEX
fleet_address() {
  local first=$((wf_base + 3 * fleet_controls + 4 * $2))
  case $1 in
    control-peer) echo "127.0.0.1:$(fleet_control_port "$2" 0)" ;;
    control-node) echo "127.0.0.1:$(fleet_control_port "$2" 1)" ;;
    control-api) echo "127.0.0.1:$(fleet_control_port "$2" 2)" ;;
    caller) echo "127.0.0.1:$first" ;;
    peer) echo "127.0.0.1:$((first + 1))" ;;
    local) echo "127.0.0.1:$((first + 2))" ;;
    target) echo "127.0.0.1:$((first + 3))" ;;
  esac
}

# fleet_addresses ROLE: the addresses of all processes in the role, comma-separated.
fleet_addresses() {
  local count=$fleet_nodes list='' i
  case $1 in control-*) count=$fleet_controls ;; esac
  for ((i = 0; i < count; i++)); do list="$list,$(fleet_address "$1" "$i")"; done
  echo "${list#,}"
}

fleet_zone_of_node() { echo "${zones[$(($1 % ${#zones[@]}))]}"; }

# ---- Processes --------------------------------------------------------------

fleet_start_control() {
  local i=$1 ini=$wf_work/control-$1.ini
  cat >"$ini" <<INI
[control]
name = control-$i
availability-zone = ${zones[$i]}
data-folder = $wf_work/data-$i
peer-listen = $(fleet_address control-peer "$i")
node-listen = $(fleet_address control-node "$i")
api-listen = $(fleet_address control-api "$i")
seeds = $(fleet_addresses control-peer)
INI
  if [ "$i" -eq 0 ]; then
    cat >>"$ini" <<INI
bootstrap = true
initial-voters = $(seq -s , -f control-%g 0 $((fleet_controls - 1)))
INI
  fi
  mkdir -p "$wf_work/data-$i"
  wf_start "control-$i" "$wf_bin/wigeonfold-control" --config "$ini"
}

fleet_start_node() {
  local i=$1 ini=$wf_work/node-$1.ini c
  {
    cat <<INI
[node]
name = node-$i
availability-zone = $(fleet_zone_of_node "$i")
caller-listen = $(fleet_address caller "$i")
peer-listen = $(fleet_address peer "$i")
local-listen = $(fleet_address local "$i")
[control]
INI
    for c in "${!zones[@]}"; do
      echo "${zones[$c]} = $(fleet_address control-node "$c")"
    done
  } >"$ini"
  wf_start "node-$i" "$wf_bin/wigeonfold-node" --config "$ini"
}

# Targets like those of Kiln Seconds: 6 slots, 130 connections, 1 ms to open a
# connection; 20 of 1,000 requests take 40 ms instead of 3 ms.
fleet_start_target() {
  local i=$1 ini=$wf_work/target-$1.ini
  cat >"$ini" <<INI
[target]
name = target-$i
listen = $(fleet_address target "$i")
service = ${services[$i]}
node-announce = $(fleet_address local "$i")
node-callers = $(fleet_address caller "$i")
slots = 6
connections = 130
connection-cost = 1ms
executed-file = $wf_work/executed-$i
seed = $((100 + i))
[service-time]
short = 3ms
long = 40ms
long-per-mille = 20
INI
  wf_start "target-$i" "$wf_bin/wigeonfold-target" --config "$ini"
}

# ---- Load -------------------------------------------------------------------

# Client accounts and request classes of a load generator's settings file.
fleet_classes() {
  cat <<'INI'
[offices]
offices/arita/shop = 70
offices/arita/members = 20
offices/hasami = 10
[class browse]
service = lots
answer-bytes = 2000
weight = 55
deadline = 2s
[class stock]
service = lots
chain = reservations,ledgers
weight = 5
deadline = 2s
[class reserve]
service = reservations
method = POST
body-bytes = 300
weight = 20
deadline = 2s
[class ledger]
service = ledgers
answer-bytes = 500
weight = 20
deadline = 2s
INI
}

# Lines "SERVICE = TARGET_ADDRESS,..." of the section [direct].
fleet_direct() {
  local service i list
  for service in $(printf '%s\n' "${services[@]}" | sort -u); do
    list=
    for i in "${!services[@]}"; do
      [ "${services[$i]}" = "$service" ] && list="$list,$(fleet_address target "$i")"
    done
    echo "$service = ${list#,}"
  done
}

fleet_executed_files() {
  local list='' i
  for ((i = 0; i < fleet_nodes; i++)); do list="$list,$wf_work/executed-$i"; done
  echo "${list#,}"
}

# ---- Operators' client and status -------------------------------------------

# fleet_client COMMAND...: runs the operators' client.
fleet_client() {
  "$wf_bin/wigeonfold" "$@" --control "$(fleet_addresses control-api)"
}

# fleet_set PATH KEY VALUE: sets a value in the draft that fleet_accept sends.
fleet_set() { fleet_client branch set "$@" --draft "$wf_work/draft.json"; }

fleet_accept() { fleet_client accept "$@" --draft "$wf_work/draft.json"; }

# Prints the index of the control VM that holds the leader lease; fails if none does.
fleet_leader() {
  fleet_client status --json | python3 -c '
import json, sys
for control in json.load(sys.stdin)["control"]:
    if control["reached"] and control["status"]["leaseHeld"]:
        print(control["name"].rsplit("-", 1)[1])
        sys.exit(0)
sys.exit(1)'
}

# fleet_is_complete COUNT: succeeds when every node is ready and knows COUNT endpoints.
fleet_is_complete() {
  python3 - "$(fleet_addresses local)" "$1" <<'PY'
import http.client, json, sys
for address in sys.argv[1].split(","):
    connection = http.client.HTTPConnection(address, timeout=3)
    connection.request("GET", "/status")
    status = json.loads(connection.getresponse().read())
    if not status["ready"] or status["endpoints"] < int(sys.argv[2]):
        sys.exit(1)
PY
}

# Prints the bytes of control traffic of all nodes, in both directions, since they
# started.
fleet_control_bytes() {
  python3 - "$(fleet_addresses local)" <<'PY'
import http.client, sys
total = 0.0
for address in sys.argv[1].split(","):
    connection = http.client.HTTPConnection(address, timeout=3)
    connection.request("GET", "/metrics")
    for line in connection.getresponse().read().decode().splitlines():
        if line.startswith("wigeonfold_node_control_bytes{"):
            total += float(line.split()[-1])
print(total)
PY
}
