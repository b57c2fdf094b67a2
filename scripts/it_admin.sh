#!/usr/bin/env bash
# Integration test: administration API and command line of one entry VM with
# the platform simulator: tokens, status, metrics, bundles, and drains
# while the platform is down or its answers are lost.
set -eu
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

cp=build/currantpaddle
admin=127.0.24.2:24002
platform_url=http://127.0.24.1:24001
fail() {
	echo "failed: $*"
	cat "$dir/e1.log"
	exit 1
}
# Runs a command and compares its exit code.
expect() { # CODE COMMAND...
	local want=$1 got=0
	shift
	"$@" >"$dir/out" 2>&1 || got=$?
	[ "$got" = "$want" ] ||
		fail "exit code $got, expected $want: $*: $(cat "$dir/out")"
}
# Prints the status code of the answer.
http() { curl -s -m 5 -o "$dir/out" -w '%{http_code}' "$@"; }

$cp bundle keygen "$dir/ops" >"$dir/public"
cat >"$dir/bundle.json" <<JSON
{
	"name": "admin", "version": 1,
	"regions": [ { "id": "r1", "zones": [ "z1" ] } ],
	"services": [ {
		"id": "echo", "floor_slots": 3, "deadline_ms": 2000,
		"profile": "fast",
		"backend_servers": [ {
			"id": "b1", "zone": "z1", "address": "127.0.24.3",
			"port": 24003, "slots": 6, "connections": 400
		} ]
	} ],
	"routes": [ { "prefix": "/", "service": "echo" } ]
}
JSON
expect 0 $cp bundle sign --key "$dir/ops.secret" \
	--output "$dir/bundle.signed" "$dir/bundle.json"
echo read-token-0123456789 >"$dir/read"
echo stop-token-0123456789 >"$dir/stop"
echo none-token-0123456789 >"$dir/none"
cat >"$dir/e1.json" <<JSON
{
	"id": "e1", "region": "r1", "zone": "z1",
	"caller": { "address": "127.0.24.2", "port": 24000 },
	"admin": { "address": "127.0.24.2", "port": 24002, "tokens": [
		{ "name": "r", "token": "read-token-0123456789",
		  "rights": [ "read" ] },
		{ "name": "s", "token": "stop-token-0123456789",
		  "rights": [ "stop", "submit" ] }
	] },
	"peer": { "address": "127.0.24.2", "port": 24004 },
	"platform": { "address": "127.0.24.1", "port": 24001 },
	"bundle_keys": [ "$(cat "$dir/public")" ],
	"bundle_file": "$dir/bundle.signed"
}
JSON
build/platformd 127.0.24.1:24001 &
pids+=($!)
$cp entry --settings "$dir/e1.json" 2>"$dir/e1.log" &
pids+=($!)
for _ in $(seq 50); do
	code=$(http "http://$admin/metrics" || true)
	[ "$code" = 000 ] || break
	sleep 0.1
done
[ "$code" = 401 ] || fail "metrics without a token: $code, expected 401"
[ ! -s "$dir/out" ] || fail "the answer 401 has a body"

expect 3 $cp status --admin $admin --token-file "$dir/none"
expect 3 $cp status --admin $admin --token-file "$dir/stop"
expect 0 $cp status --admin $admin --token-file "$dir/read"
grep -q 'b1 .*of 6' "$dir/out" || fail "status does not list b1"
expect 0 $cp status --json --admin $admin --token-file "$dir/read"
grep -q '"vm":"e1"' "$dir/out" || fail "status does not name the VM"
expect 4 $cp status --admin 127.0.24.9:24999 --token-file "$dir/read"
expect 2 $cp status --admin nowhere --token-file "$dir/read"
code=$(http -H "Authorization: Bearer $(cat "$dir/read")" \
	"http://$admin/metrics")
[ "$code" = 200 ] || fail "metrics: $code, expected 200"
grep -q 'currantpaddle_admin_denied_total 3' "$dir/out" ||
	fail "denied requests are not counted"

expect 0 $cp bundle show --json --admin $admin --token-file "$dir/read"
grep -q '"version":1,"signatures":1' "$dir/out" ||
	fail "bundle show: wrong version or number of signatures"
sed 's/"version": 1/"version": 2/' "$dir/bundle.signed" >"$dir/altered"
expect 3 $cp bundle submit --admin $admin --token-file "$dir/stop" \
	"$dir/altered"
expect 2 $cp bundle submit --admin $admin --token-file "$dir/stop" \
	"$dir/bundle.json"

stop="$cp stop --admin $admin --token-file $dir/stop"
expect 2 $stop --service echo
expect 2 $stop --service echo --backend b2
expect 0 $stop --service echo --backend b1
curl -s -m 5 $platform_url/table/drains | grep -q '4:echo2:b1' ||
	fail "the drain is not stored"
curl -s -m 5 -d '{"mode":"lose_answers"}' $platform_url/control
expect 0 $stop --service echo --backend b1 --undo
curl -s -m 5 -d '{"mode":"down"}' $platform_url/control
expect 4 $stop --service echo --backend b1
curl -s -m 5 -d '{"mode":"up"}' $platform_url/control
! curl -s -m 5 $platform_url/table/drains | grep -q 'b1' ||
	fail "the drain is still stored after its undo"
expect 2 $stop --vm e7
expect 0 $stop --vm e1
for command in entry stop status addresses "bundle submit" "bundle show" \
	"bundle check"; do
	expect 0 $cp $command --help
done
echo "ok: tokens, status, metrics, bundles, drains and stop"
