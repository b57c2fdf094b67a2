#!/usr/bin/env bash
# Measures edge VMs with simulated backend servers: ejections while all servers
# are healthy, and how long a server that resets connections still gets requests
# that must not be retried. Prints lines "figure NAME VALUE UNIT".
#
#   measure_edge.sh [ROUNDS]
set -u
EDGE_PORT=${EDGE_PORT:-21900}
rounds=${1:-5}
. scripts/edge.sh
runs_dir=$dir/runs
mkdir "$runs_dir"
check_requests=1
healthy_s=10
fault_s=3
# Time after the fault in which ejected servers get trials and are reinstated.
recover_s=6

log_events() { # EVENT ; prints the lines of all VMs, ordered by time
	grep -h "\"event\":\"$1\"" "$dir"/e?.log | sort
}

# Prints the milliseconds from the first broken attempt after LINES-BEFORE lines
# to the last one of a request that must not be retried; trials do not count.
detection_ms() { # LINES-BEFORE
	log_events broken | tail -n "+$(($1 + 1))" |
		sed 's/.*T\([0-9:.]*\)Z.*"kind":"\([a-z]*\)","trial":\([01]\).*/\1 \2 \3/' |
		awk '{ split($1, t, ":"); at = (t[1] * 60 + t[2]) * 60 + t[3] }
			!first { first = at }
			$2 != "safe" && $3 == 0 { last = at }
			END { if (first) printf "%.0f\n",
				(last > first ? (last - first) * 1000 : 0) }'
}

start_fleet >/dev/null
"$build/soak" -s 1 -q 1 -r "$runs_dir" -p "$port" \
	-t $((healthy_s + rounds * (fault_s + recover_s))) \
	127.21.2.1 127.21.2.2 127.21.2.3 >"$dir/soak.out" &
callers=$!
pids+=($callers)
sleep $healthy_s
echo "figure false_ejections $(log_events eject | wc -l) ejections"
for round in $(seq "$rounds"); do
	before=$(log_events broken | wc -l)
	# The callers use the zones of the first two servers.
	set_fault reset $((round % 2 + 1))
	sleep $fault_s
	set_fault none 1 2 3 4
	echo "figure detection_$round $(detection_ms "$before") ms"
	echo "figure broken_$round $(($(log_events broken | wc -l) - before)) attempts"
	sleep $recover_s
done
wait $callers
sed 's/^/# callers: /' "$dir/soak.out"
