# Functions shared by scripts that run a fleet on loopback. Source this file
# after `set -euo pipefail`, from the root of the repository.
#
# Start every process through wf_start: the trap that wf_begin sets stops these
# processes, and no others, and removes the work folder.
# Environment variables:
#   WIGEONFOLD_BUILD      build folder (default build)
#   WIGEONFOLD_BASE_PORT  first port of the fleet (default 21000, below the
#                         usual ephemeral range)
#   WIGEONFOLD_KEEP_LOGS  folder that receives the logs when a run fails

wf_bin=${WIGEONFOLD_BUILD:-build}/bin
wf_work=
wf_base=
declare -A wf_pids=()

# ---- Begin and end ----------------------------------------------------------

# wf_begin PORTS: creates the work folder, sets the traps and finds a free range of
# PORTS ports.
wf_begin() {
  wf_work=$(mktemp -d)
  trap wf_end EXIT
  trap 'exit 130' INT
  trap 'exit 143' TERM
  wf_base=$(wf_free_base "$1")
}

# Exit trap: stops the processes that wf_start started and removes the work folder.
# Keeps the exit status of the script.
wf_end() {
  local status=$?
  trap - EXIT
  trap '' INT TERM
  wf_stop_all || true
  if [ "$status" -ne 0 ] && [ -n "${WIGEONFOLD_KEEP_LOGS:-}" ]; then
    mkdir -p "$WIGEONFOLD_KEEP_LOGS"
    cp "$wf_work"/*.log "$wf_work"/*.ini "$WIGEONFOLD_KEEP_LOGS"/ 2>/dev/null || true
  fi
  rm -rf "$wf_work"
  exit "$status"
}

# wf_free_base COUNT: prints the first of COUNT adjacent ports that can be bound.
wf_free_base() {
  python3 - "$1" "${WIGEONFOLD_BASE_PORT:-21000}" <<'PY'
import socket, sys

def is_free(port):
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind(("127.0.0.1", port))
            probe.listen()
            return True
        except OSError:
            return False

count, base = int(sys.argv[1]), int(sys.argv[2])
for first in range(base, min(base + 10000, 65536 - count), count):
    if all(is_free(port) for port in range(first, first + count)):
        print(first)
        sys.exit(0)
sys.exit("no free range of %d ports from %d" % (count, base))
PY
}

# ---- Processes --------------------------------------------------------------

# wf_start NAME COMMAND...: runs the command with its output in NAME.log.
wf_start() {
  local name=$1
  shift
  "$@" >>"$wf_work/$name.log" 2>&1 &
  wf_pids[$name]=$!
}

# wf_is_running NAME: succeeds when the process is a running child of this script.
# Checks the job list, as the process id may have been reused by another process.
wf_is_running() {
  local pid=${wf_pids[$1]:-}
  [ -n "$pid" ] && jobs -rp | grep -qx "$pid"
}

# wf_signal SIGNAL NAME
wf_signal() {
  if wf_is_running "$2"; then
    kill -s "$1" "${wf_pids[$2]}" 2>/dev/null || true
  fi
}

# wf_kill NAME: sends SIGKILL, which simulates the loss of the VM.
wf_kill() {
  wf_signal KILL "$1"
  wait "${wf_pids[$1]}" 2>/dev/null || true
  unset "wf_pids[$1]"
}

# wf_wait NAME: waits for the process and returns its exit status.
wf_wait() {
  local status=0
  wait "${wf_pids[$1]}" || status=$?
  unset "wf_pids[$1]"
  return "$status"
}

# Sends SIGTERM to all processes, and SIGKILL to those that still run after 10 s.
# Fails when one did not exit with status 0; wf_unclean then holds the names.
wf_unclean=
wf_stop_all() {
  local name deadline=$((SECONDS + 10))
  wf_unclean=
  for name in "${!wf_pids[@]}"; do wf_signal TERM "$name"; done
  for name in "${!wf_pids[@]}"; do
    while wf_is_running "$name" && [ "$SECONDS" -lt "$deadline" ]; do sleep 0.05; done
    wf_signal KILL "$name"
    wf_wait "$name" 2>/dev/null || wf_unclean="$wf_unclean $name"
  done
  [ -z "$wf_unclean" ]
}

# ---- Waiting and reading ----------------------------------------------------

# wf_until SECONDS COMMAND...: repeats the command until it succeeds; fails after
# SECONDS.
wf_until() {
  local deadline=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    [ "$SECONDS" -lt "$deadline" ] || return 1
    sleep 0.1
  done
}

# wf_http METHOD ADDRESS PATH: prints the body; fails when the status is not 200.
wf_http() {
  python3 - "$@" <<'PY'
import http.client, sys
connection = http.client.HTTPConnection(sys.argv[2], timeout=3)
connection.request(sys.argv[1], sys.argv[3])
answer = connection.getresponse()
sys.stdout.write(answer.read().decode())
sys.exit(answer.status != 200)
PY
}

# wf_json FILE EXPRESSION: prints a Python expression over the JSON document `d`.
wf_json() {
  python3 -c 'import json,sys; d=json.load(open(sys.argv[1])); print(eval(sys.argv[2]))' "$1" "$2"
}
