# latency and throughput of the proxy against a direct client
# shellcheck shell=bash disable=SC2154

setup() {
  fleet_start_servers --statement-us 2000
  # One proxy: entry and dispatcher in one process.
  fleet_start_proxies 1
  fleet_wait_healthy 1
}

drive() {
  local before after
  before=$(process_ticks "${FLEET_PID_OF[host-1]}")
  fleet_load overhead --seconds "$seconds" --seed "$seed" | tee "$FLEET_RUN/figures"
  after=$(process_ticks "${FLEET_PID_OF[host-1]}")
  awk -F= -v ticks=$((after - before)) -v hz="$(getconf CLK_TCK)" \
    '$1 == "proxy_statements" { printf "statements_per_core_s=%.0f\n", $2 * hz / ticks }' \
    "$FLEET_RUN/figures"
}
