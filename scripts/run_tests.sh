#!/bin/sh
# Runs test programs and scripts, prints the output of each and a total line.
#
#   run_tests.sh TEST...
#
# TEST_JOBS test programs (4 by default) run at once. Scripts run one at a time,
# because they start whole fleets. Each test is stopped after 480 s. A failure
# of a test that KNOWN-RED.txt lists by a line "test: NAME" is printed but not
# counted.
set -u

if [ "$1" = --one ]; then
	out=$2/$(basename "$3")
	timeout 480 $(case $3 in *.sh) echo bash ;; esac) "$3" >"$out.out" 2>&1
	echo $? >"$out.code"
	exit 0
fi

out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
passed=0
failed=0
known_failures=KNOWN-RED.txt
for test in "$@"; do
	case $test in *.sh) ;; *) echo "$test" ;; esac
done | xargs -r -P "${TEST_JOBS:-4}" -n 1 sh "$0" --one "$out" >/dev/null
for test in "$@"; do
	name=$(basename "$test")
	case $test in
	*.sh) sh "$0" --one "$out" "$test" ;;
	esac
	cat "$out/$name.out"
	if [ "$(cat "$out/$name.code" 2>/dev/null)" = 0 ]; then
		passed=$((passed + 1))
	elif [ -f "$known_failures" ] &&
		grep -q "^test: $name\$" "$known_failures"; then
		echo "known red: $name"
	else
		echo "FAILED: $name"
		failed=$((failed + 1))
	fi
done
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
