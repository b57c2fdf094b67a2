#!/usr/bin/env bash
# Measures what the entry VMs of a fleet spend on control: processor time,
# memory, peer messages and platform calls, without requests and under a low
# rate, and how long a new bundle takes to be in force on all of them. Prints
# lines "figure NAME VALUE UNIT"; values of VMs are means over the fleet.
#
#   capacity.sh [-v VMS] [-t SECONDS] [-r RATE_PER_VM] [-P PORT]
set -eu
cd "$(dirname "$0")/.."
. scripts/fleet.sh

vms=10 seconds=20 rate=20 port=27000
while getopts v:t:r:P: opt; do
	case $opt in
	v) vms=$OPTARG ;;
	t) seconds=$OPTARG ;;
	r) rate=$OPTARG ;;
	P) port=$OPTARG ;;
	*) exit 2 ;;
	esac
done

figure() { # NAME VALUE UNIT
	echo "figure v${vms}_$1 $2 $3"
}

# Sum over the VMs: TICKS SWITCHES RSS MAX_RSS SENT BYTES READS WRITES LINK
# OBJECT; the last two are bytes of bundles.
sample() {
	local i pid
	for ((i = 0; i < vms; i++)); do
		pid=${fleet_pid_of[vm$i]}
		awk '{ print "ticks", $14 + $15 }' "/proc/$pid/stat"
		cat /proc/"$pid"/task/*/status |
			awk '/^voluntary/ { print "switches", $2 }'
		awk '/^VmRSS/ { print "rss", $2 }' "/proc/$pid/status"
		curl -s -m 2 -H "Authorization: Bearer $fleet_token" \
			"http://$(fleet_admin_address "$i")/metrics" |
			sed -n 's/^currantpaddle_//p'
	done | awk '
		{ sum[$1] += $2 }
		$1 == "rss" && $2 > max { max = $2 }
		END { print sum["ticks"], sum["switches"], sum["rss"], max,
			sum["peer_sent_messages_total"],
			sum["peer_sent_bytes_total"],
			sum["platform_reads_total"],
			sum["platform_writes_total"],
			sum["rollout_link_bytes_total"],
			sum["rollout_object_bytes_total"] }'
}

stats() {
	curl -s -m 2 "http://127.9.0.1:$fleet_platform_port/stats" |
		tr -c '0-9\n' ' '
}

# Prints the figures of one span; the sampling itself is left out of it as far
# as one answer of /metrics for each VM allows.
measure() { # PREFIX
	local a b pa pb t0 t1
	a=$(sample) pa=$(stats) t0=$(date +%s.%N)
	sleep "$seconds"
	t1=$(date +%s.%N) b=$(sample) pb=$(stats)
	echo "$a $b $pa $pb $t0 $t1" | awk -v v="$vms" -v p="v${vms}_$1" \
		-v hz="$(getconf CLK_TCK)" '{
		t = $26 - $25
		n = v * t
		f = "figure %s_%s %.3f %s\n"
		printf f, p, "core_share", ($11 - $1) / hz / n * 100, "%"
		printf f, p, "wakeups", ($12 - $2) / n, "1/s"
		printf f, p, "memory_mean", $13 / v, "KiB"
		printf f, p, "memory_max", $14, "KiB"
		printf f, p, "peer_messages", ($15 - $5) / n, "1/s"
		printf f, p, "peer_bytes", ($16 - $6) / n, "B/s"
		printf f, p, "platform_reads", ($17 - $7) / n, "1/s"
		printf f, p, "platform_writes", ($18 - $8) / n, "1/s"
		printf f, p, "fleet_reads", ($23 - $21) / t, "1/s"
		printf f, p, "fleet_writes", ($24 - $22) / t, "1/s"
	}'
}

# Waits until all VMs have logged that the version is in force.
wait_in_force() { # VERSION
	local i n
	for ((i = 0; i < 200; i++)); do
		n=$(grep -l "version $1 is in force" "$fleet_dir"/vm*.log |
			wc -l)
		[ "$n" -lt "$vms" ] || return 0
		sleep 0.1
	done
	echo "version $1 is in force on $n of $vms VMs" >&2
	return 1
}

measure_rollout() { # VERSION
	local begin before
	before=$(sample)
	begin=$(fleet_now_seconds)
	fleet_submit "$1" 1 >/dev/null || echo "submit: no answer in time" >&2
	wait_in_force "$1"
	grep -h "version $1 is in force" "$fleet_dir"/vm*.log |
		sed 's/^{"time":"[^T]*T\([0-9:.]*\)Z.*/\1/' |
		awk -F: -v b="$begin" '{ t = $1 * 3600 + $2 * 60 + $3 - b
			if (t > max) max = t } END { printf "%.3f\n", max }' >"$fleet_dir/max"
	figure "rollout_time" "$(cat "$fleet_dir/max")" s
	echo "$before $(sample)" | awk -v p="v${vms}_rollout" '{
		printf "figure %s_link %d B\n", p, $19 - $9
		printf "figure %s_object %d B\n", p, $20 - $10 }'
	figure "rollout_bundle" "$(wc -c <"$fleet_dir/bundle-$1.signed")" B
}

fleet_init "$port"
fleet_start_platform
fleet_start_backends 30 8
fleet_start_vms "$vms"
fleet_wait_members "$vms" || fleet_wait_members "$vms"
for version in 1 2 3; do
	fleet_bundle "$version" fast 30 8
done
fleet_submit 1 >/dev/null || true
wait_in_force 1
sleep 5
measure idle
measure_rollout 2
measure_rollout 3
build/load --entry "$(fleet_entry_list)" \
	--zones "$(fleet_join , "${fleet_zones[@]}")" \
	--rate "$((rate * vms))" --seconds "$((seconds + 8))" --seed 1 \
	--writes 0.2 --keyed 0 --paths /booking,/booking,/booking,/archive \
	--stubs "$(fleet_stub_list)" >"$fleet_dir/load.txt" &
load=$!
fleet_pids+=("$load")
sleep 4
measure loaded
wait "$load" || echo "the load tool reported a fault" >&2
sleep 5
measure quiet
sed "s/^/load v$vms /" "$fleet_dir/load.txt" | head -20
