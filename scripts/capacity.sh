#!/usr/bin/env bash
# Measures the control overhead of the entry VMs of a fleet: CPU time, memory,
# peer messages and platform calls, while idle and at a low request rate. Also
# measures how long a rollout takes until the new bundle is in force on all VMs.
# Prints lines "figure NAME VALUE UNIT"; per-VM values are means over the fleet.
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

# Prints sums over the VMs, with the largest RSS as MAX_RSS: TICKS SWITCHES RSS
# MAX_RSS SENT_MESSAGES SENT_BYTES READS WRITES LINK_BYTES OBJECT_BYTES. READS
# and WRITES are platform calls; the last two are bundle bytes that VMs exchange
# and that they read from the object store.
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

# Prints READS WRITES of the whole fleet, as counted by the platform.
platform_stats() {
	curl -s -m 2 "http://127.9.0.1:$fleet_platform_port/stats" |
		tr -c '0-9\n' ' '
}

# Prints the figures of one interval. The interval excludes the sampling, except
# for the cost of one /metrics answer per VM.
measure() { # PREFIX
	local before after platform_before platform_after begin end
	before=$(sample) platform_before=$(platform_stats)
	begin=$(date +%s.%N)
	sleep "$seconds"
	end=$(date +%s.%N)
	after=$(sample) platform_after=$(platform_stats)
	echo "$before $after $platform_before $platform_after $begin $end" |
		awk -v v="$vms" -v p="v${vms}_$1" -v hz="$(getconf CLK_TCK)" '{
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
	echo "capacity: version $1 is in force on $n of $vms VMs" >&2
	return 1
}

measure_rollout() { # VERSION
	local begin before
	before=$(sample)
	begin=$(fleet_now_seconds)
	fleet_submit "$1" 1 >/dev/null ||
		echo "capacity: bundle submit of version $1 failed" >&2
	wait_in_force "$1"
	grep -h "version $1 is in force" "$fleet_dir"/vm*.log |
		sed 's/^{"time":"[^T]*T\([0-9:.]*\)Z.*/\1/' |
		awk -F: -v b="$begin" '{ t = $1 * 3600 + $2 * 60 + $3 - b
			if (t > max) max = t } END { printf "%.3f\n", max }' \
			>"$fleet_dir/rollout_s"
	figure "rollout_time" "$(cat "$fleet_dir/rollout_s")" s
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
wait "$load" || echo "capacity: the load tool failed" >&2
sleep 5
measure quiet
sed "s/^/load v$vms /" "$fleet_dir/load.txt" | head -20
