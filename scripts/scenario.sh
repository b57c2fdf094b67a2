#!/usr/bin/env bash
# Runs a fleet with one fault under load and prints its figures as lines
# "NAME VALUE".
#
#   scenario.sh [-v VMS] [-p fast|careful] [-d DETECTOR] [-f FAULT] [-s SEED]
#               [-r RATE] [-t SECONDS] [-P PORT]
#
# FAULT is one of
#   none        no fault
#   stall       one backend server never answers
#   tenth       one backend server does not answer 10 % of the requests
#   slow        one backend server is slower by a factor of 10
#   error       one backend server answers 50 % of the requests with an error
#   cut         one backend server truncates 50 % of the answers
#   flap        one backend server stalls in periods of 1.5 s
#   everywhere  all backend servers are slower by a factor of 8
#   half        every second backend server never answers
#   burst       no fault, but three times the rate
#
# The fault begins 6 s after the load, so that allocators are older than the 4 s
# in which idle holders count as live. Detection time runs from the fault to the
# "eject" log line of the allocator.
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

# Indices of the faulty backend servers of the service "booking". A single one
# is chosen by the seed; several are in both regions.
first=$((seed * 7 % booking))
faulty=("$first")
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
	faulty=($(seq 0 $((booking - 1))))
	;;
half)
	query="mode=stall"
	faulty=($(seq 0 2 $((booking - 1))))
	;;
esac
fault_at=$(fleet_now_seconds)
if [ -n "$query" ]; then
	for i in "${faulty[@]}"; do
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
	for i in "${faulty[@]}"; do
		names+="s0b$(printf %02d "$i") "
	done
fi
awk -v names="$names" -v at="$fault_at" '
function seconds(t, p) {
	split(t, p, ":")
	return p[1] * 3600 + p[2] * 60 + p[3]
}
{
	match($0, /"backend":"[^"]*"/)
	name = substr($0, RSTART + 11, RLENGTH - 12)
	if (index(names, " " name " ")) {
		if (!(name in seen)) {
			seen[name] = 1
			printf "detect_ms %.0f\n", (seconds($1) - at) * 1000
		}
	} else
		false_ejections++
}
END { printf "false_ejections %d\n", false_ejections }' "$fleet_dir/ejects.txt"
echo "sick ${#faulty[@]}"
max_open=0 work_after_fault=0
for stub in "${fleet_stubs[@]}"; do
	stats=$(fleet_stub_stats "$stub")
	open=$(fleet_json_number max_open "$stats")
	[ "$open" -le "$max_open" ] || max_open=$open
done
if [ -n "$query" ]; then
	for i in "${faulty[@]}"; do
		stats=$(fleet_stub_stats "${fleet_stubs[$i]}")
		started=$(fleet_json_number after_fault "$stats")
		work_after_fault=$((work_after_fault + started))
	done
fi
echo "overcommit $((max_open > 6 ? max_open - 6 : 0))"
echo "work_after_fault $work_after_fault"
# The value of an "eject" line is the healthy capacity left in the region of the
# VM after the ejection. Each region must keep its share of the floor, which is
# proportional to its number of backend servers.
floor=$((booking * 6 * ${fleet_floor_percent:-60} / 100))
awk -v floor="$floor" -v booking="$booking" '
/"service":"booking"/ {
	match($2, /[0-9]+/)
	vm = substr($2, RSTART, RLENGTH)
	region = int(vm % 4 / 2)
	rest = booking % 4
	extra = rest > 2 ? 2 : rest
	servers = int(booking / 4) * 2 + (region ? rest - extra : extra)
	share = int((floor * servers * 6 + booking * 6 - 1) / (booking * 6))
	match($0, /"value":-?[0-9]+/)
	if (substr($0, RSTART + 8, RLENGTH - 8) + 0 < share)
		violations++
}
END { printf "floor_violations %d\n", violations }' "$fleet_dir/ejects.txt"
