# four racing operators publish while the store loses answers
# shellcheck shell=bash disable=SC2154

setup() {
  FLEET_LOAD_HOSTS="1 2 3 4 5 6"
  fleet_start_servers
  fleet_start_proxies 1 2 3 4 5 6
  fleet_wait_healthy 1 2 3 4 5 6
}

drive() {
  # Of a hundred answers five are lost, some before and some after the effect.
  fleet_platform "control?lost_before=2&lost_after=3&seed=$seed" > /dev/null
  fleet_load publish --seconds "$seconds" --seed "$seed"
}
