# a replica and then the primary are listed as leaving
# shellcheck shell=bash disable=SC2154

setup() {
  FLEET_LOAD_HOSTS="1 2 3 4 5 6"
  fleet_start_servers
  fleet_start_proxies 1 2 3 4 5 6
  fleet_wait_healthy 1 2 3 4 5 6
}

drive() {
  fleet_load leaving --seconds "$seconds" --seed "$seed"
}
