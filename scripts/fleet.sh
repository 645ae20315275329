# Functions that start and stop a deployment on loopback as separate processes.
# Sourced by demo.sh, smoke.sh and faults.sh. Only processes whose PID was recorded
# by start are signalled.

BIN=${BIN:-bin}
RUN=${RUN:-run/fleet}
BALANCERS=${BALANCERS:-5}
BOOKING_TARGETS=${BOOKING_TARGETS:-15}
DOCUMENT_TARGETS=${DOCUMENT_TARGETS:-4}
BOOKING=127.10.0.1:5683
DOCUMENTS=127.10.0.2:5683
CONTROL_ADMIN=127.0.0.1:7301,127.0.0.1:7302,127.0.0.1:7303

declare -A PIDS

say() { echo "== $*"; }

# start NAME COMMAND... runs a background process with its own output and log files.
start() {
  local name=$1
  shift
  "$@" >>"$RUN/$name.out" 2>>"$RUN/$name.log" &
  PIDS[$name]=$!
}

# end NAME SIGNAL sends a signal to one process.
end() { kill "-$2" "${PIDS[$1]}" 2>/dev/null || true; }

# await NAME waits for a process to end.
await() { wait "${PIDS[$1]}" 2>/dev/null || true; }

stop_fleet() {
  local name
  jobs >/dev/null
  for name in "${!PIDS[@]}"; do end "$name" KILL; done
  wait 2>/dev/null || true
}

members_yaml() {
  local i
  echo "members:"
  for i in 1 2 3; do
    echo "  - {id: $i, peer: '127.0.0.1:710$i', nodes: '127.0.0.1:720$i', admin: '127.0.0.1:730$i'}"
  done
}

write_settings() {
  local i
  for i in 1 2 3; do
    { echo "id: $i"; echo "data_folder: $RUN/control-$i"; echo "bootstrap: true"; members_yaml; } >"$RUN/control-$i.yaml"
  done
  { echo "listen: 127.0.0.1:6100"; echo "lag: 800ms"; echo "machines:"; } >"$RUN/platform.yaml"
  for i in $(seq 1 "$BALANCERS"); do
    write_balancer "$i"
    echo "  - {name: quito-b$i, callers: '127.0.0.1:$((8000 + i))', targets: '127.0.0.1:$((8100 + i))', admin: '127.0.0.1:$((8300 + i))'}" >>"$RUN/platform.yaml"
  done
  write_services >"$RUN/services.yaml"
}

write_balancer() {
  local i=$1
  cat >"$RUN/balancer-$i.yaml" <<YAML
name: quito-b$i
zone: quito-$((i % 3 + 1))
cell: 1
callers: 127.0.0.1:$((8000 + i))
targets: 127.0.0.1:$((8100 + i))
peers: 127.0.0.1:$((8200 + i))
admin: 127.0.0.1:$((8300 + i))
fabric: 127.0.0.1:6002
control: ['127.0.0.1:7201', '127.0.0.1:7202', '127.0.0.1:7203']
YAML
}

write_services() {
  local i
  echo "services:"
  echo "  - name: booking"
  echo "    address: $BOOKING"
  echo "    priority: flows"
  echo "    limits: {default_deadline: 8s, retransmit_span: 10s, idle_timeout: 10m}"
  echo "    targets:"
  for i in $(seq 1 "$BOOKING_TARGETS"); do
    echo "      - {name: booking-$i, address: '127.0.0.1:$((9000 + i))', admin: '127.0.0.1:$((9100 + i))', zone: quito-$((i % 3 + 1)), slots: 2, connections: 2000}"
  done
  echo "  - name: documents"
  echo "    address: $DOCUMENTS"
  echo "    priority: flows"
  echo "    targets:"
  for i in $(seq 1 "$DOCUMENT_TARGETS"); do
    echo "      - {name: documents-$i, address: '127.0.0.1:$((9200 + i))', admin: '127.0.0.1:$((9300 + i))', zone: quito-$((i % 3 + 1)), slots: 2, connections: 2000}"
  done
}

start_control() { start "control-$1" "$BIN/beamdoor" control --settings "$RUN/control-$1.yaml"; }

start_balancer() { start "balancer-$1" "$BIN/beamdoor" balancer --settings "$RUN/balancer-$1.yaml"; }

start_target() {
  local kind=$1 i=$2 base=$3 service=$4
  start "$kind-$i" "$BIN/beamdoor-lab" target --name "$kind-$i" --listen "127.0.0.1:$((base + i))" \
    --admin "127.0.0.1:$((base + 100 + i))" --service "$service" --journal "$RUN/$kind-$i.journal" --seed "$i"
}

admin() { "$BIN/beamdoor" --control "$CONTROL_ADMIN" --author demo "$@"; }

# start_fleet starts all processes and returns once the configuration is in force.
start_fleet() {
  local i
  rm -rf "$RUN"
  mkdir -p "$RUN"
  write_settings
  for i in 1 2 3; do start_control "$i"; done
  for i in $(seq 1 "$BOOKING_TARGETS"); do start_target booking "$i" 9000 "$BOOKING"; done
  for i in $(seq 1 "$DOCUMENT_TARGETS"); do start_target documents "$i" 9200 "$DOCUMENTS"; done
  for i in $(seq 1 "$BALANCERS"); do start_balancer "$i"; done
  start platform "$BIN/beamdoor-lab" platform --settings "$RUN/platform.yaml"
  start fabric "$BIN/beamdoor-lab" fabric --service "$BOOKING" --service "$DOCUMENTS"
  for i in $(seq 1 "$BALANCERS"); do admin join "quito-b$i" --timeout 20s; done
  admin apply -f "$RUN/services.yaml" --summary "first configuration" --wait 15s
}
