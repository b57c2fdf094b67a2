#!/usr/bin/env bash
# Prints the main figures as lines "figure NAME VALUE UNIT" in under 60 s. Each
# run has 10 VMs, 600 requests/s and one stalled backend server. Both profiles
# run with the shared detector and with the baseline detector, which ejects by
# consecutive errors that each VM counts alone; figures of the baseline end in
# _baseline_errors. Seeds are 1 and 2. Two fleets run at a time.
set -eu
cd "$(dirname "$0")/.."
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
export fleet_deadline_ms=3000

run_scenario() { # NAME PROFILE DETECTOR SEED PORT
	bash scripts/scenario.sh -v 10 -r 600 -t 11 -f stall -p "$2" -d "$3" \
		-s "$4" -P "$5" >"$dir/$1" 2>"$dir/$1.err" || true
}

run_scenario fast fast shared 1 18000 &
run_scenario careful careful shared 2 18010 &
wait
run_scenario fast_errors fast consecutive_errors 1 18020 &
run_scenario careful_errors careful consecutive_errors 2 18030 &
wait

# Value of a line "NAME VALUE" of scenario.sh.
value() { # RUN NAME
	sed -n "s/^$2 //p" "$dir/$1" | head -1
}

sum() { # NAME RUN...
	local name=$1 total=0 run
	shift
	for run in "$@"; do
		total=$((total + $(value "$run" "$name")))
	done
	echo "$total"
}

# Retries in percent of the requests.
retry_percent() { # RUN...
	awk -v a="$(sum attempts "$@")" -v s="$(sum sent "$@")" \
		'BEGIN { printf "%.2f", (a - s) * 100 / s }'
}

failed=0
print_figures() { # SUFFIX FAST_RUN CAREFUL_RUN
	local detect_ms
	for profile in fast careful; do
		run=$2
		[ $profile = fast ] || run=$3
		detect_ms=$(value "$run" detect_ms)
		echo "figure detect_stall_${profile}_p50_ms$1" \
			"${detect_ms:-none} ms"
		echo "figure work_after_fault_$profile$1 $(value "$run" \
			work_after_fault) requests"
		echo "figure slowest_answer_${profile}_ms$1 $(value "$run" \
			max_ms) ms"
	done
	echo "figure false_ejections_careful$1 $(value "$3" \
		false_ejections) ejections"
	echo "figure floor_violations$1 $(sum floor_violations \
		"$2" "$3") ejections"
	echo "figure overcommit_max$1 $(sum overcommit "$2" "$3") requests"
	echo "figure double_runs$1 $(sum double_runs "$2" "$3") requests"
	echo "figure wrong_answers$1 $(sum wrong "$2" "$3") requests"
	echo "figure unknown_outcomes$1 $(sum unknown "$2" "$3") requests"
	echo "figure retry_extra_percent$1 $(retry_percent \
		"$2" "$3") percent"
}

for run in fast careful fast_errors careful_errors; do
	if [ -z "$(value $run sent)" ]; then
		echo "measure: run $run failed"
		cat "$dir/$run" "$dir/$run.err"
		failed=1
	fi
done
[ "$failed" -eq 0 ] || exit 1
print_figures "" fast careful
print_figures _baseline_errors fast_errors careful_errors
