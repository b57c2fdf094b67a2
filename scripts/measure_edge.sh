#!/usr/bin/env bash
# Measures edge VMs with the stand-ins: ejections while no server is sick, and
# how long a server that has begun to reset connections still gets work that may
# not be repeated. Prints lines "figure NAME VALUE UNIT".
#
#   measure_edge.sh [ROUNDS]
set -u
EDGE_PORT=${EDGE_PORT:-21900}
rounds=${1:-5}
. scripts/edge.sh
runs_dir=$dir/runs
mkdir "$runs_dir"
healthy_s=10
sick_s=3
# Ejected servers are tried for a while after the fault has ended.
recover_s=6

events() { # EVENT ; lines of all VMs in the order of time
	grep -h "\"event\":\"$1\"" "$dir"/e?.log | sort
}

# Milliseconds from the first broken attempt since a line of the log to the last
# one of work that may not be repeated, trials left out.
detection_ms() { # LINES-BEFORE
	events broken | tail -n "+$(($1 + 1))" |
		sed 's/.*T\([0-9:.]*\)Z.*"kind":"\([a-z]*\)","trial":\([01]\).*/\1 \2 \3/' |
		awk '{ split($1, t, ":"); at = (t[1] * 60 + t[2]) * 60 + t[3] }
			!first { first = at }
			$2 != "safe" && $3 == 0 { last = at }
			END { if (first) printf "%.0f\n",
				(last > first ? (last - first) * 1000 : 0) }'
}

fleet >/dev/null
"$build/soak" -s 1 -q 1 -r "$runs_dir" -p "$port" \
	-t $((healthy_s + rounds * (sick_s + recover_s))) \
	127.21.2.1 127.21.2.2 127.21.2.3 >"$dir/soak.out" &
callers=$!
pids+=($callers)
sleep $healthy_s
echo "figure false_ejections $(events eject | wc -l) ejections"
for round in $(seq "$rounds"); do
	before=$(events broken | wc -l)
	# The callers' zones are those of the first two servers.
	fault reset $((round % 2 + 1))
	sleep $sick_s
	fault none 1 2 3 4
	echo "figure detection_$round $(detection_ms "$before") ms"
	echo "figure broken_$round $(($(events broken | wc -l) - before)) attempts"
	sleep $recover_s
done
wait $callers
sed 's/^/# callers: /' "$dir/soak.out"
