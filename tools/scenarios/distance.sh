# latency by data centre and bytes over the link between regions
# shellcheck shell=bash disable=SC2154

# Host 1 stands with the first primary, host 2 in the same region, host 3 in
# the other region.
# shellcheck disable=SC2034
FLEET_LINKS=1

setup() {
  fleet_start_servers --statement-us 2000
  fleet_start_proxies 1 2 3
  fleet_wait_healthy 1 2 3
}

drive() {
  fleet_load distance --seconds "$seconds" --seed "$seed"
}
