# the store is out under load, and a proxy restarts in the outage
# shellcheck shell=bash disable=SC2154

setup() {
  FLEET_LOAD_HOSTS="1 2 3 4 5 6"
  fleet_start_servers
  fleet_start_proxies 1 2 3 4 5 6
  fleet_wait_healthy 1 2 3 4 5 6
}

# The share of requests that were done, from the figures of a run.
success_share() {
  awk -F= '$1 == "requests" { n = $2 } $1 == "failed" { f = $2 }
    END { printf "%.5f", n ? (n - f) / n : 0 }' "$1"
}

drive() {
  local before during start end
  fleet_load steady --seconds $(((seconds + 2) / 3)) --seed "$seed" \
    > "$FLEET_RUN/before"
  fleet_platform 'control?down=1' > /dev/null
  fleet_load steady --seconds $(((2 * seconds + 2) / 3)) --seed "$seed" \
    > "$FLEET_RUN/during"
  fleet_restart 2
  start=$(date +%s%3N)
  fleet_wait_healthy 2
  end=$(date +%s%3N)
  fleet_platform 'control?down=0' > /dev/null
  before=$(success_share "$FLEET_RUN/before")
  during=$(success_share "$FLEET_RUN/during")
  sed 's/^/before_/' "$FLEET_RUN/before"
  sed 's/^/during_/' "$FLEET_RUN/during"
  awk -v b="$before" -v d="$during" \
    'BEGIN { printf "success_ratio=%.4f\n", (b > 0) ? d / b : 0 }'
  echo "restart_in_outage_ms=$((end - start))"
}
