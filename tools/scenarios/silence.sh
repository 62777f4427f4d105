# service while open connections go silent for good
# shellcheck shell=bash disable=SC2154

setup() {
  fleet_start_servers --statement-us 2000
  fleet_start_proxies 1 2 3
  fleet_wait_healthy 1 2 3
}

drive() {
  fleet_load silence --seconds "$seconds" --seed "$seed"
}
