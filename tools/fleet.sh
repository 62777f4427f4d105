# Functions that start and stop a deployment on loopback addresses. To be
# sourced by scripts at the root of the repository.
#
# FLEET_NET (default 0) is the second byte of all addresses, so that several
# fleets can run side by side: 127.FLEET_NET.0.x.

: "${FLEET_NET:=0}"
: "${BUILD:=Build}"
FLEET_RUN="run/$FLEET_NET"
FLEET_PIDS=()
declare -A FLEET_PID_OF=()
. tools/links.sh

# Moves an address of the committed settings to this fleet's network.
fleet_ip() { echo "127.$FLEET_NET.0.$1"; }

# Copies a deployment's settings into the run folder with this fleet's
# addresses.
fleet_prepare() {
  FLEET_DEPLOYMENT=$1
  mkdir -p "$FLEET_RUN"
  local file
  for file in deploy/"$1"/host-*.ini; do
    sed "s/127\.0\.0\./127.$FLEET_NET.0./g" "$file" \
      > "$FLEET_RUN/$(basename "$file")"
  done
  cp "deploy/$1/profiles.ini" "$FLEET_RUN/profiles.ini"
  links_targets > "$FLEET_RUN/targets"
  for file in "$FLEET_RUN"/host-*.ini; do
    links_rewrite "$(sed -n 's/^data_centre = //p;T;q' "$file")" \
      < "$file" > "$file.new"
    mv "$file.new" "$file"
  done
}

# Starts a program in the background under a name, with its output in the run
# folder.
fleet_start() {
  local name=$1
  shift
  "$@" >> "$FLEET_RUN/$name.log" 2>&1 &
  FLEET_PIDS+=($!)
  FLEET_PID_OF[$name]=$!
}

# The names of a deployment's databases, in the order of their servers.
fleet_databases() {
  sed -n 's/^\[database\.\(.*\)\]$/\1/p' "$FLEET_RUN/host-1.ini"
}

# Starts the stand-in servers of all databases. Arguments are passed on.
fleet_start_servers() {
  local d=0 s n group database centre
  links_start
  while read -r database; do
    group=""
    for s in 1 2 3; do
      n=$((d * 3 + s))
      group+="${group:+,}$database-$s=$(fleet_ip $((20 + n))):7500"
    done
    for s in 1 2 3; do
      n=$((d * 3 + s))
      centre=$(awk -v a="$(fleet_ip $((20 + n))):7500" \
        '$1 == a { print $2 }' "$FLEET_RUN/targets")
      fleet_start "$database-$s" "$BUILD/Source/Standin/camphorstep-standin" \
        server --name "$database-$s" --group "$(links_rewrite "$centre" <<< "$group")" \
        --control "$(fleet_ip $((20 + n))):7600" "$@"
    done
    d=$((d + 1))
  done < <(fleet_databases)
}

# Starts the stand-in platform and waits for it.
fleet_start_platform() {
  local tries
  fleet_start platform "$BUILD/Source/Standin/camphorstep-standin" platform \
    --listen "$(fleet_ip 5):7700" --control "$(fleet_ip 5):7701"
  for ((tries = 0; tries < 50; tries++)); do
    fleet_platform counters > /dev/null 2>&1 && return 0
    sleep 0.1
  done
  echo "the platform did not start; see $FLEET_RUN/platform.log" >&2
  return 1
}

# Asks the platform's control page: fleet_platform 'control?down=1'
fleet_platform() { curl -sf -m 5 "http://$(fleet_ip 5):7701/$1"; }

# Starts proxies: fleet_start_proxies 1 2 3
fleet_start_proxies() {
  local n
  for n in "$@"; do
    fleet_start "host-$n" "$BUILD/Source/App/camphorstep" proxy \
      --settings "$FLEET_RUN/host-$n.ini"
  done
}

# Waits until the given hosts are healthy, ten seconds at most.
fleet_wait_healthy() {
  local n tries
  for n in "$@"; do
    for ((tries = 0; tries < 100; tries++)); do
      curl -sf "http://$(fleet_ip $((10 + n))):7200/health" > /dev/null && break
      sleep 0.1
    done
    if ((tries == 100)); then
      echo "host-$n did not become healthy; see $FLEET_RUN/host-$n.log" >&2
      return 1
    fi
  done
}

# Ends what this shell has started: proxies by a planned stop, and then what is
# left by force.
fleet_stop() {
  local pid tries
  for pid in "${FLEET_PIDS[@]}"; do
    kill "$pid" 2> /dev/null || true
  done
  for ((tries = 0; tries < 30; tries++)); do
    kill -0 "${FLEET_PIDS[@]}" 2> /dev/null || break
    sleep 0.1
  done
  for pid in "${FLEET_PIDS[@]}"; do
    kill -9 "$pid" 2> /dev/null || true
  done
  wait "${FLEET_PIDS[@]}" 2> /dev/null || true
  FLEET_PIDS=()
}

# Runs the load tool against proxies 1 to 3 and the first database:
# fleet_load SCENARIO [OPTIONS]
fleet_load() {
  local database tokens proxies="" servers="" controls="" n name=$1
  shift
  database=$(fleet_databases | head -n 1)
  tokens=$(sed -n 's/^token = \(.*\)$/\1/p' "$FLEET_RUN/host-1.ini" \
    | head -n 3 | paste -sd,)
  for n in 1 2 3; do
    proxies+="${proxies:+,}$(fleet_ip $((10 + n))):7100"
    servers+="${servers:+,}$(fleet_ip $((20 + n))):7500"
    controls+="${controls:+,}$(fleet_ip $((20 + n))):7600"
  done
  "$BUILD/Source/Load/camphorstep-load" --scenario "$name" \
    --proxies "$proxies" --database "$database" --servers "$servers" \
    --controls "$controls" --tokens "$tokens" \
    --links "$(links_control data-centres),$(links_control regions)" "$@"
}

# Processor time that a process has used, in clock ticks.
process_ticks() {
  awk '{ print $14 + $15 }' "/proc/$1/stat"
}
