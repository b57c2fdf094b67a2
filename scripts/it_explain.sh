#!/usr/bin/env bash
# Integration test of docs/OPERATIONS.md: for three kinds of failed requests,
# the commands of that page lead from a request's id to its cause. The logs of
# the VMs are $dir/e*.log.
set -u
EDGE_PORT=21800
. scripts/edge.sh

# Prints the log lines of all VMs about a request, ordered by time.
request_lines() { # REQUEST-ID
	grep -h "\"request\":\"$1\"" "$dir"/e*.log | sort
}

last_value() { # FIELD ; prints its value in the last line of standard input
	tail -n 1 | sed "s/.*\"$1\":\"\{0,1\}\([^\",}]*\).*/\1/"
}

start_fleet

echo "# a request that was refused as not run"
set_fault shed 1 2 3 4
send_request 1 /unsafe/x -d booking
check "status" "$status" 503
check "the refusal names its reason" \
	"$(request_lines q$request_id | grep '"event":"refuse"' | last_value why)" \
	"backend server has no room"
check "the request was not run" "$(count_runs q$request_id)" 0
set_fault none 1 2 3 4
sleep 4

echo "# a request with an unknown outcome at a faulty backend server"
set_fault reset 1 2 3 4
send_request 1 /unsafe/x -d booking
check "status" "$status" 502
check "the attempt failed" \
	"$(request_lines q$request_id | grep '"event":"broken"' | last_value why)" \
	"connection closed"
server=$(request_lines q$request_id | grep '"event":"broken"' | last_value server)
check "its server was ejected by this VM" \
	"$(grep -h '"event":"eject"' "$dir/e1.log" | grep "\"$server\"" |
		last_value outcome)" broken
explained=$("$build/currantpaddle" explain q$request_id "$dir"/e*.log)
check "explain prints the attempt, the ejection and the refusal" \
	"$(grep -oE 'e1 (broken|eject|refuse)' <<<"$explained" |
		cut -d ' ' -f 2 | xargs)" \
	"broken eject refuse"
"$build/currantpaddle" explain q-none "$dir"/e*.log >"$dir/none" 2>&1
check "explain of an unknown request" "$? $(cat "$dir/none")" \
	"1 no line about request q-none"
set_fault none 1 2 3 4
sleep 4
check "the server was reinstated later" \
	"$(for n in $(seq 40); do send_request 1 /safe/x; done
	grep -h '"event":"reinstate"' "$dir"/e[12].log | grep -c "\"$server\"" |
		sed 's/[1-9][0-9]*/some/')" some

echo "# a request that failed around a change of the configuration"
put_config 7 safe upload
sleep 2
send_request 2 /unsafe/x -d booking
check "status" "$status" 404
check "the refusal names the version in force" \
	"$(request_lines q$request_id | grep '"event":"refuse"' | last_value version)" 7
check "this VM applied that version" \
	"$(grep -h '"event":"config"' "$dir/e2.log" | last_value version)" 7

echo "# counters that the page says to monitor"
metrics=$(curl -s -m 2 "http://127.21.2.1:$((port + 3))/metrics")
for name in requests answered refused unknown ejections; do
	check "counter $name increased" "$(grep "^currantpaddle_${name}_total " \
		<<<"$metrics" | grep -vc ' 0$')" 1
done
check "latency histogram" \
	"$(grep -c '^currantpaddle_request_seconds_bucket' <<<"$metrics" |
		sed 's/[1-9][0-9]*/some/')" some

exit $failed
