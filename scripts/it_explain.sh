#!/usr/bin/env bash
# Integration test of docs/OPERATIONS.md: for three kinds of failed request, the
# commands of that page lead from the request's id to its cause. The logs of all
# VMs stand in $dir/e*.log.
set -u
EDGE_PORT=21800
. scripts/edge.sh

# Lines about a request, of all VMs, in the order of time.
story() { # REQUEST-ID
	grep -h "\"request\":\"$1\"" "$dir"/e*.log | sort
}

value() { # FIELD ; of the last line on standard input
	tail -n 1 | sed "s/.*\"$1\":\"\{0,1\}\([^\",}]*\).*/\1/"
}

fleet

echo "# a request that was refused as not run"
fault shed 1 2 3 4
ask 1 /unsafe/x -d booking
check "status" "$status" 503
check "the refusal names its reason" \
	"$(story q$request_id | grep '"event":"refuse"' | value why)" \
	"backend server has no room"
check "and that it was not run" "$(runs q$request_id)" 0
fault none 1 2 3 4
sleep 4

echo "# a request with an unknown outcome at a gray backend server"
fault reset 1 2 3 4
ask 1 /unsafe/x -d booking
check "status" "$status" 502
check "the attempt broke" \
	"$(story q$request_id | grep '"event":"broken"' | value why)" \
	"connection closed"
server=$(story q$request_id | grep '"event":"broken"' | value server)
check "its server was ejected by this VM" \
	"$(grep -h '"event":"eject"' "$dir/e1.log" | grep "\"$server\"" |
		value outcome)" broken
explained=$("$build/currantpaddle" explain q$request_id "$dir"/e*.log)
check "explain tells the attempt, the ejection and the answer" \
	"$(grep -oE 'e1 (broken|eject|refuse)' <<<"$explained" |
		cut -d ' ' -f 2 | xargs)" \
	"broken eject refuse"
"$build/currantpaddle" explain q-none "$dir"/e*.log >"$dir/none" 2>&1
check "explain knows no such request" "$? $(cat "$dir/none")" \
	"1 no line about request q-none"
fault none 1 2 3 4
sleep 4
check "and returned later" \
	"$(for n in $(seq 40); do ask 1 /safe/x; done
	grep -h '"event":"reinstate"' "$dir"/e[12].log | grep -c "\"$server\"" |
		sed 's/[1-9][0-9]*/some/')" some

echo "# a request that failed around a change of the configuration"
config 7 safe upload
sleep 2
ask 2 /unsafe/x -d booking
check "status" "$status" 404
check "the refusal names the version in force" \
	"$(story q$request_id | grep '"event":"refuse"' | value version)" 7
check "which this VM took over" \
	"$(grep -h '"event":"config"' "$dir/e2.log" | value version)" 7

echo "# counters that the page tells to watch"
metrics=$(curl -s -m 2 "http://127.21.2.1:$((port + 3))/metrics")
for name in requests answered refused unknown ejections; do
	check "counter $name moved" "$(grep "^currantpaddle_${name}_total " \
		<<<"$metrics" | grep -vc ' 0$')" 1
done
check "latency histogram" \
	"$(grep -c '^currantpaddle_request_seconds_bucket' <<<"$metrics" |
		sed 's/[1-9][0-9]*/some/')" some

exit $failed
