#!/usr/bin/env bash
# Runs one scenario with real processes and prints its figures as "NAME VALUE".
#
#   scenario.sh [-v VMS] [-p fast|careful] [-d DETECTOR] [-f FAULT] [-s SEED]
#               [-r RATE] [-t SECONDS] [-P PORT]
#
# FAULT: none, stall, tenth, slow, error, cut, flap, everywhere, half, burst.
# The fault begins 6 s after the load, so that allocators are older than the 4 s
# in which idle holders count as live; detection time runs from there to the
# "eject" line of the allocator.
set -eu
cd "$(dirname "$0")/.."
. scripts/fleet.sh

vms=10 profile=fast detector=shared fault=stall seed=1 rate=800 seconds=15
port=18000
while getopts v:p:d:f:s:r:t:P: opt; do
	case $opt in
	v) vms=$OPTARG ;;
	p) profile=$OPTARG ;;
	d) detector=$OPTARG ;;
	f) fault=$OPTARG ;;
	s) seed=$OPTARG ;;
	r) rate=$OPTARG ;;
	t) seconds=$OPTARG ;;
	P) port=$OPTARG ;;
	*) exit 2 ;;
	esac
done
booking=30 archive=8
if [ "$profile" = careful ]; then
	booking=25
	fleet_connections=330
fi
fleet_detector=$detector
fleet_init "$port"
fleet_start_platform
fleet_start_backends $booking $archive "$seed"
fleet_start_vms "$vms"
fleet_wait_members "$vms"
fleet_bundle 1 "$profile" $booking $archive
fleet_submit 1 >/dev/null
sleep 2

[ "$fault" != burst ] || rate=$((rate * 3))
build/load --entry "$(fleet_entry_list)" \
	--zones "$(fleet_join , "${fleet_zones[@]}")" --rate "$rate" \
	--seconds "$seconds" --seed "$seed" --writes 0.2 --keyed 0.1 \
	--paths /booking,/booking,/booking,/archive \
	--stubs "$(fleet_stub_list)" >"$fleet_dir/load.txt" &
load=$!
fleet_pids+=("$load")
sleep 6

# Sick backend servers of the booking service, by seed, in both regions.
first=$((seed * 7 % booking))
sick=("$first")
query=
case $fault in
stall) query="mode=stall" ;;
tenth) query="mode=stall&percent=10" ;;
slow) query="mode=slow&factor=10" ;;
error) query="mode=error&percent=50" ;;
cut) query="mode=cut&percent=50" ;;
flap) query="mode=stall&period_ms=1500" ;;
everywhere)
	query="mode=slow&factor=8"
	sick=($(seq 0 $((booking - 1))))
	;;
half)
	query="mode=stall"
	sick=($(seq 0 2 $((booking - 1))))
	;;
esac
fault_at=$(fleet_now_seconds)
if [ -n "$query" ]; then
	for i in "${sick[@]}"; do
		fleet_set_fault "${fleet_stubs[$i]}" "$query" &
		fault_pids+=" $!"
	done
	# shellcheck disable=SC2086
	wait $fault_pids
fi
wait "$load" || true

cat "$fleet_dir/load.txt"
fleet_events eject >"$fleet_dir/ejects.txt"
names=" "
if [ -n "$query" ] && [ "$fault" != everywhere ]; then
	for i in "${sick[@]}"; do
		names+="s0b$(printf %02d "$i") "
	done
fi
awk -v names="$names" -v at="$fault_at" '
function seconds(t, p) { split(t, p, ":"); return p[1] * 3600 + p[2] * 60 + p[3] }
{
	match($0, /"backend":"[^"]*"/)
	name = substr($0, RSTART + 11, RLENGTH - 12)
	if (index(names, " " name " ")) {
		if (!(name in seen)) {
			seen[name] = 1
			printf "detect_ms %.0f\n", (seconds($1) - at) * 1000
		}
	} else
		wrongly++
}
END { printf "false_ejections %d\n", wrongly }' "$fleet_dir/ejects.txt"
echo "sick ${#sick[@]}"
max=0 after=0
for stub in "${fleet_stubs[@]}"; do
	stats=$(fleet_stub_stats "$stub")
	n=$(fleet_json_number max_open "$stats")
	[ "$n" -le "$max" ] || max=$n
done
if [ -n "$query" ]; then
	for i in "${sick[@]}"; do
		stats=$(fleet_stub_stats "${fleet_stubs[$i]}")
		after=$((after + $(fleet_json_number after_fault "$stats")))
	done
fi
echo "overcommit $((max > 6 ? max - 6 : 0))"
echo "work_after_fault $after"
# The value of an "eject" line is the healthy capacity that it leaves in the
# region of its VM; each region keeps its part of the floor.
floor=$((booking * 6 * ${fleet_floor_percent:-60} / 100))
awk -v floor="$floor" -v booking="$booking" '
/"service":"booking"/ {
	match($2, /[0-9]+/)
	vm = substr($2, RSTART, RLENGTH)
	region = int(vm % 4 / 2)
	n = int(booking / 4) * 2 + (region ? (booking % 4 > 2 ? booking % 4 - 2 : 0) : (booking % 4 > 2 ? 2 : booking % 4))
	part = int((floor * n * 6 + booking * 6 - 1) / (booking * 6))
	match($0, /"value":-?[0-9]+/)
	if (substr($0, RSTART + 8, RLENGTH - 8) + 0 < part)
		violations++
}
END { printf "floor_violations %d\n", violations }' "$fleet_dir/ejects.txt"
