# every proxy is restarted in turn under load
# shellcheck shell=bash disable=SC2154

setup() {
  FLEET_LOAD_HOSTS="1 2 3 4 5 6"
  fleet_start_servers
  fleet_start_proxies 1 2 3 4 5 6
  fleet_wait_healthy 1 2 3 4 5 6
}

# Restarts proxies in turn until the load has ended or all are through.
restart_all() {
  local load=$1 n status restarts=0 bad=0
  for n in 1 2 3 4 5 6; do
    kill -0 "$load" 2> /dev/null || break
    status=0
    fleet_restart "$n" || status=$?
    restarts=$((restarts + 1))
    ((status == 0)) || bad=$((bad + 1))
    fleet_wait_healthy "$n"
  done
  echo "restarts=$restarts"
  echo "bad_exits=$bad"
}

drive() {
  local load
  fleet_load steady --seconds "$seconds" --seed "$seed" &
  load=$!
  sleep 1
  restart_all "$load"
  wait "$load"
}
