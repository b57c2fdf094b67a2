#!/bin/sh
# Runs every fuzz target with a fixed seed.
#
#   fuzz.sh runs|time
#
# "runs" executes a bounded number of inputs per target, "time" runs each target
# for 60 s. Inputs that fail are kept in build/fuzz/.
set -u

# Number of inputs; each target takes 3 to 20 s on one core.
input_limit() { # TARGET
	case $1 in
	admin_stop_request) echo 200000 ;;
	bundle) echo 20000 ;;
	core) echo 10000 ;;
	http) echo 400000 ;;
	entry_settings) echo 60000 ;;
	peer_codec) echo 400000 ;;
	edge_decoders) echo 100000 ;;
	*) echo 10000 ;;
	esac
}

run_target() { # TARGET
	name=$1
	seeds=tests/corpus/$name
	[ -d "$seeds" ] || seeds=
	# libFuzzer writes new inputs to its first folder. That is not the seed
	# corpus, which would change, and starts empty, so that every run begins
	# with the same inputs.
	rm -rf "build/fuzz/new-$name"
	mkdir -p "build/fuzz/new-$name"
	if [ "$mode" = time ]; then
		limit=-max_total_time=60
	else
		limit=-runs=$(input_limit "$name")
	fi
	if "build/fuzz/fuzz_$name" -seed=1 "$limit" -timeout=10 -max_len=4096 \
		-len_control=0 -print_final_stats=0 \
		-artifact_prefix="build/fuzz/$name-" "build/fuzz/new-$name" \
		$seeds >"build/fuzz/$name.log" 2>&1; then
		echo "ok: fuzz_$name, $(tail -1 "build/fuzz/$name.log")"
	else
		tail -60 "build/fuzz/$name.log"
		echo "FAILED: fuzz_$name"
		return 1
	fi
}

if [ "$1" = one ]; then
	mode=$2
	run_target "$3"
	exit
fi
# At most 4 at once; xargs fails if one of them fails.
for target in tests/fuzz_*.c; do
	name=${target##*/fuzz_}
	echo "${name%.c}"
done | xargs -P 4 -n 1 sh "$0" one "$1"
