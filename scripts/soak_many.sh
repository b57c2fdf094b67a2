#!/usr/bin/env bash
# Runs the fault soak with the seeds FIRST to LAST, JOBS at a time, and prints a
# line for each. The logs of failed seeds are kept in the folder printed last.
#
#   soak_many.sh FIRST LAST [JOBS]
set -u
cd "$(dirname "$0")/.."
jobs=${3:-4}
out=$(mktemp -d)
# Copies of the programs, so that a build during the run does not change them.
mkdir "$out/bin"
cp build/currantpaddle build/rowsd build/serverd build/faultproxy build/soak \
	"$out/bin/"
export out
run_seed() { # SEED ; also selects the ports, so that jobs do not conflict
	mkdir -p "$out/$1"
	BUILD_DIR=$out/bin EDGE_PORT=$((20000 + $1 % 400 * 10)) SOAK_LOGS=$out/$1 \
		bash scripts/soak.sh "$1" >"$out/$1.txt" 2>/dev/null
	tail -2 "$out/$1.txt" | paste -s -d ' '
}
export -f run_seed
seq "$1" "$2" | xargs -P "$jobs" -I '{}' bash -c 'run_seed {}'
echo "failed: $(grep -l 'FAILED$' "$out"/*.txt | wc -l) of $(($2 - $1 + 1)), \
output in $out"
! grep -q 'FAILED$' "$out"/*.txt
