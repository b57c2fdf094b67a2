#!/usr/bin/env bash
# Runs one entry VM of the sanitizer build through bundles, requests, operator
# calls and a planned stop. Guards against memory leaks and use after free,
# which end the VM with an exit code other than 0.
#
#   leaks.sh [planned|forced]
#
# With "forced", a second signal forces the exit while an operator call waits.
set -eu
mode=${1:-planned}
build=${BUILD_DIR:-build/sanitize}
dir=$(mktemp -d)
pids=()
cleanup() {
	for pid in "${pids[@]}"; do
		kill -KILL "$pid" 2>/dev/null || true
	done
	wait 2>/dev/null || true
	rm -rf "$dir"
}
trap cleanup EXIT

cp=$build/currantpaddle
token=operator-token-0123456789
$cp bundle keygen "$dir/ops" >"$dir/public"
write_bundle() { # VERSION
	cat >"$dir/bundle.json" <<-JSON
	{
	"name": "leaks", "version": $1,
	"regions": [ { "id": "r1", "zones": [ "z1" ] } ],
	"services": [ {
	 "id": "echo", "floor_slots": 3, "deadline_ms": 2000,
	 "profile": "fast", "backend_servers": [ {
	  "id": "b1", "zone": "z1", "address": "127.0.26.3",
	  "port": 26103, "slots": 6, "connections": 400 } ] } ],
	"routes": [ { "prefix": "/", "service": "echo" } ]
	}
	JSON
	$cp bundle sign --key "$dir/ops.secret" --output "$dir/bundle.signed" \
		"$dir/bundle.json" >/dev/null
}
write_bundle 1
echo $token >"$dir/token"
cat >"$dir/e1.json" <<JSON
{
	"id": "e1", "region": "r1", "zone": "z1", "address_ttl_ms": 100,
	"caller": { "address": "127.0.26.2", "port": 26100 },
	"admin": { "address": "127.0.26.2", "port": 26102, "tokens": [ {
		"name": "o", "token": "$token",
		"rights": [ "read", "submit", "stop" ] } ] },
	"peer": { "address": "127.0.26.2", "port": 26104 },
	"platform": { "address": "127.0.26.1", "port": 26101 },
	"bundle_keys": [ "$(cat "$dir/public")" ],
	"bundle_file": "$dir/bundle.signed"
}
JSON
"$build/platformd" 127.0.26.1:26101 &
pids+=($!)
"$build/backendd" 127.0.26.3:26103:b1 &
pids+=($!)
$cp entry --settings "$dir/e1.json" 2>"$dir/e1.log" &
vm=$!
pids+=("$vm")
url=http://127.0.26.2:26100
admin=127.0.26.2:26102
answer_count=0
for _ in $(seq 150); do
	! curl -s -f -m 2 -o /dev/null "$url/hello" ||
		answer_count=$((answer_count + 1))
	[ "$answer_count" -lt 5 ] || break
	sleep 0.1
done
curl -s -m 2 -o /dev/null -d body -H "Idempotency-Key: k1" "$url/w"
curl -s -m 2 -o /dev/null "$url/.currantpaddle/addresses?service=echo&zone=z1"
write_bundle 2
$cp bundle submit --wait --admin $admin --token-file "$dir/token" \
	"$dir/bundle.signed" >/dev/null
$cp status --admin $admin --token-file "$dir/token" >/dev/null
curl -s -m 2 -o /dev/null "$url/hello"
# The drain still waits for the slow platform when the VM begins to stop.
curl -s -m 2 -d '{"mode":"slow","delay_ms":1500}' \
	http://127.0.26.1:26101/control >/dev/null
curl -s -m 20 -o /dev/null -H "Authorization: Bearer $token" \
	-d '{"service":"echo","backend":"b1"}' "http://$admin/v1/stop" &
sleep 0.2
kill -TERM "$vm"
if [ "$mode" = forced ]; then
	sleep 0.1
	kill -TERM "$vm"
fi
code=0
wait "$vm" || code=$?
# Lines that are not JSON are sanitizer reports.
if [ "$code" != 0 ] || [ "$answer_count" -lt 5 ] ||
	grep -v '^{' "$dir/e1.log"; then
	echo "failed: exit code $code, $answer_count answers"
	exit 1
fi
echo "ok: no memory errors, $answer_count answers, $mode stop"
