# what one more session, database, host or profile costs the core

setup() { :; }

drive() {
  local figures="$FLEET_RUN/slopes.csv" kind
  # Benchmarks with different counters do not fit into one table.
  for kind in 'Events|Request|Tick|Configure' Memory Wire; do
    "$BUILD/Benchmarks/camphorstep-benchmark" --benchmark_format=csv \
      --benchmark_filter="^($kind)" \
      --benchmark_min_time="$(awk -v s="$seconds" 'BEGIN { print s / 100 }')" \
      2> /dev/null
  done > "$figures"
  tools/fit-slopes "$figures" | tee docs/slopes.txt
}
