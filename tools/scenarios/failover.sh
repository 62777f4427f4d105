# gaps of steady writers over changes of primary, and what the logs show
# shellcheck shell=bash disable=SC2154

setup() {
  rm -f "$FLEET_RUN"/host-*.log
  fleet_start_servers
  fleet_start_proxies 1 2 3
  fleet_wait_healthy 1 2 3
}

# The median of a value in the proxies' records of unplanned changes.
part_median() {
  cat "$FLEET_RUN"/host-*.log | grep 'primary changed' \
    | grep '"planned":"no"' | sed -n "s/.*\"$1\":\"\([0-9]*\)\".*/\1/p" \
    | sort -n | awk '{ a[NR] = $1 } END { if (NR) print a[int((NR + 1) / 2)] }'
}

drive() {
  local database names part
  database=$(fleet_databases | head -n 1)
  names="$database-1,$database-2,$database-3"
  fleet_load failover --seconds "$seconds" --seed "$seed" --names "$names" \
    --operators "$(fleet_ip 11):7200" --operator-token example-token-operator
  for part in probe fence wait promote; do
    echo "part_${part}_median_ms=$(part_median "${part}_ms")"
  done
}
