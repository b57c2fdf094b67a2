#!/usr/bin/env bash
# Runs scenario.sh for each VM count, profile, detector, fault and seed, and
# prints a Markdown table; a row holds the runs with all seeds.
#
#   measure_full.sh [-v "VMS ..."] [-s "SEEDS ..."] [-d "DETECTORS ..."]
#                   [-p "PROFILES ..."] [-f "FAULTS ..."] [-j FLEETS_AT_ONCE]
set -eu
cd "$(dirname "$0")/.."

vms="10 40" seeds="1 2 3 4 5" profiles="fast careful" jobs=2
detectors="shared unshared consecutive_errors none"
faults="none stall tenth slow error cut flap everywhere half burst"
while getopts v:s:d:p:f:j: opt; do
	case $opt in
	v) vms=$OPTARG ;;
	s) seeds=$OPTARG ;;
	d) detectors=$OPTARG ;;
	p) profiles=$OPTARG ;;
	f) faults=$OPTARG ;;
	j) jobs=$OPTARG ;;
	*) exit 2 ;;
	esac
done
export fleet_deadline_ms=${fleet_deadline_ms:-4000}
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT

port=18000
for v in $vms; do
	for p in $profiles; do
		for d in $detectors; do
			for f in $faults; do
				for s in $seeds; do
					echo "$v $p $d $f $s $port"
					port=$((18000 + (port - 17990) % 900))
				done
			done
		done
	done
done | xargs -P "$jobs" -L 1 sh -c 'bash scripts/scenario.sh -v "$1" -p "$2" \
	-d "$3" -f "$4" -s "$5" -P "$6" -r 600 -t 12 \
	>"$0/$1.$2.$3.$4.$5" 2>&1 || true' "$dir"

# Sorted values of a figure over the runs.
values() { # NAME FILE...
	local name=$1
	shift
	sed -n "s/^$name //p" "$@" | sort -n
}
# These print "-" without a value.
median() { # NAME FILE...
	values "$@" | awk '{ v[NR] = $1 }
		END { print NR ? v[int((NR + 1) / 2)] : "-" }'
}
max() { # NAME FILE...
	values "$@" | awk '{ max = $1 } END { print NR ? max : "-" }'
}
total() { # NAME FILE...
	values "$@" | awk '{ sum += $1 } END { print NR ? sum : "-" }'
}

echo "| VMs | profile | detector | fault | runs | detect median, worst ms |" \
	"work after fault | false ejections | floor | over-commit | sent |" \
	"not run | unknown | wrong | double | p99 ms |"
echo "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|"
for v in $vms; do
	for p in $profiles; do
		for d in $detectors; do
			for f in $faults; do
				set -- "$dir/$v.$p.$d.$f."*
				runs=$(grep -l '^sent ' "$@" | wc -l)
				echo "| $v | $p | $d | $f | $runs |" \
					"$(median detect_ms "$@")," \
					"$(max detect_ms "$@") |" \
					"$(median work_after_fault "$@") |" \
					"$(total false_ejections "$@") |" \
					"$(total floor_violations "$@") |" \
					"$(max overcommit "$@") |" \
					"$(total sent "$@") |" \
					"$(total not_run "$@") |" \
					"$(total unknown "$@") |" \
					"$(total wrong "$@") |" \
					"$(total double_runs "$@") |" \
					"$(median p99_ms "$@") |"
			done
		done
	done
done
