# The links between data centres and regions, as stand-in relays. To be
# sourced by tools/fleet.sh.
#
# Set FLEET_LINKS=1 before fleet_prepare, or at the top of a scenario, and
# everything that hosts and servers send to another data centre goes through a
# relay with the delay and rate of the brief. An address 127.N.0.X is reached
# through 127.N.1.X from another data centre of its region, and through 127.N.2.X
# from another region.
#
# The relays' control pages: `curl "http://$(links_control data-centres)/status"`,
# `curl "http://$(links_control regions)/control?cut=both"`; the orders are
# listed in Source/Standin/RelayControl.h.

: "${FLEET_LINKS:=0}"
LINKS_REGION_DELAY_US=12000
# 30 Mbit/s
LINKS_REGION_BYTES_PER_SECOND=3750000

# The control page of a link: links_control data-centres|regions
links_control() {
  case "$1" in
    data-centres) echo "$(fleet_ip 3):7600" ;;
    regions) echo "$(fleet_ip 4):7600" ;;
  esac
}

links_data_centre_delay_us() {
  case "$FLEET_DEPLOYMENT" in
    servicio) echo 1500 ;;
    union) echo 500 ;;
  esac
}

# Prints "ADDRESS DATA_CENTRE REGION" for every peer, server and the platform,
# which stands in the first data centre.
links_targets() {
  awk '
    /^\[/ { section = substr($0, 2, length($0) - 2) }
    /^region = / {
      centre = section; sub(/^data_centre\./, "", centre)
      region[centre] = $3
      if (first == "") first = centre
    }
    /^address = / { address[section] = $3 }
    /^data_centre = / { place[section] = $3 }
    END {
      place["platform"] = first
      for (s in address) print address[s], place[s], region[place[s]]
    }' "$FLEET_RUN/host-1.ini"
}

# Rewrites addresses on standard input as seen from a data centre:
# links_rewrite DATA_CENTRE
links_rewrite() {
  if [ "$FLEET_LINKS" != 1 ]; then
    cat
    return
  fi
  awk -v own="$1" '
    NR == FNR { centre[$1] = $2; region[$1] = $3
                if ($2 == own) home = $3; next }
    {
      for (a in centre) {
        if (centre[a] == own) continue
        seen = a; sub(/\.0\./, region[a] == home ? ".1." : ".2.", seen)
        at = index($0, a)
        if (at > 0) $0 = substr($0, 1, at - 1) seen substr($0, at + length(a))
      }
      print
    }' "$FLEET_RUN/targets" -
}

# Starts one relay: links_start_relay NAME BYTE DELAY_US RATE, with
# "forward|backward ADDRESS" lines on standard input.
links_start_relay() {
  local direction address arguments=()
  while read -r direction address; do
    arguments+=("--$direction" "${address/.0./.$2.}=$address")
  done
  fleet_start "link-$1" "$BUILD/Source/Standin/camphorstep-standin" relay \
    --name "$1" --control "$(links_control "$1")" --delay-us "$3" \
    --bytes-per-second "$4" "${arguments[@]}"
}

# Starts the relays. The near side is the first data centre or its region.
links_start() {
  local centre region
  [ "$FLEET_LINKS" = 1 ] || return 0
  read -r _ centre region < <(grep "^$(fleet_ip 11):7300 " "$FLEET_RUN/targets")
  links_start_relay data-centres 1 "$(links_data_centre_delay_us)" 0 < <(
    awk -v near="$centre" -v region="$region" '$3 == region {
      print ($2 == near ? "backward" : "forward"), $1 }' "$FLEET_RUN/targets")
  links_start_relay regions 2 "$LINKS_REGION_DELAY_US" \
    "$LINKS_REGION_BYTES_PER_SECOND" < <(
    awk -v near="$region" '{
      print ($3 == near ? "backward" : "forward"), $1 }' "$FLEET_RUN/targets")
}
