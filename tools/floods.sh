# Functions that the scenarios about floods, retries and replica reads share.
# To be sourced after tools/fleet.sh.
# shellcheck shell=bash disable=SC2154

FLOODS_HOSTS=(1 2 3 4 5 6)
FLOODS_STATEMENT_US=10000

# The reserved shares of the ranks in the order of urgency, with commas.
floods_reserved() {
  sed -n 's/^reserved_percent = //p' "deploy/$deployment/profiles.ini" \
    | paste -sd,
}

# Puts the policy that the project measures itself against into force: first
# in first out, no refusal at the entry, a fixed limit, reads at the primary.
floods_baseline_profiles() {
  cat "deploy/$deployment/profiles.ini" - > "$FLEET_RUN/baseline.ini" <<'INI'

[policy]
scheduling = arrival-order
entry_refusal = off
concurrency_limit = fixed
replica_reads = off
INI
  sed -i "s|^file = .*|file = $FLEET_RUN/baseline.ini|" "$FLEET_RUN"/host-*.ini
}

# Runs a scenario of the load tool on a fresh fleet of six proxies:
# floods_run SCENARIO PREFIX [STAND-IN OPTIONS]
floods_run() {
  local scenario_name=$1 prefix=$2
  shift 2
  fleet_start_servers --statement-us "$FLOODS_STATEMENT_US" "$@"
  fleet_start_proxies "${FLOODS_HOSTS[@]}"
  fleet_wait_healthy "${FLOODS_HOSTS[@]}"
  fleet_load "$scenario_name" --seconds "$seconds" --seed "$seed" \
    --reserved "$(floods_reserved)" --prefix "$prefix"
  fleet_stop
}

# Runs a scenario, with --baseline after the same run of the baseline.
floods_drive() {
  local scenario_name=$1
  shift
  if ((baseline)); then
    floods_baseline_profiles
    floods_run "$scenario_name" baseline_ "$@"
    fleet_prepare "$deployment"
  fi
  floods_run "$scenario_name" "" "$@"
}
