#!/usr/bin/env bash
# Integration test: one standalone entry VM with a signed bundle forwards a
# request to one backend server stub.
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
$cp bundle keygen "$dir/ops" >"$dir/public"
cat >"$dir/bundle.json" <<JSON
{
	"name": "single", "version": 1,
	"regions": [ { "id": "r1", "zones": [ "z1" ] } ],
	"services": [ {
		"id": "echo", "floor_slots": 3, "deadline_ms": 2000,
		"profile": "fast",
		"backend_servers": [ {
			"id": "b1", "zone": "z1", "address": "127.0.2.1",
			"port": 18001, "slots": 6, "connections": 400
		} ]
	} ],
	"routes": [ { "prefix": "/", "service": "echo" } ]
}
JSON
$cp bundle sign --key "$dir/ops.secret" --output "$dir/bundle.signed" \
	"$dir/bundle.json"
cat >"$dir/e1.json" <<JSON
{
	// settings may hold comments
	"id": "e1", "region": "r1", "zone": "z1",
	"caller": { "address": "127.0.1.1", "port": 18000 },
	"admin": { "address": "127.0.1.1", "port": 18002, "tokens": [] },
	"peer": { "address": "127.0.1.1", "port": 18003 },
	"bundle_keys": [ "$(cat "$dir/public")" ],
	"bundle_file": "$dir/bundle.signed"
}
JSON
build/backendd 127.0.2.1:18001:b1 &
pids+=($!)
$cp entry --settings "$dir/e1.json" 2>"$dir/e1.log" &
pids+=($!)
for _ in $(seq 50); do
	answer=$(curl -s -m 2 http://127.0.1.1:18000/hello || true)
	[ -z "$answer" ] || break
	sleep 0.1
done
if [ "$answer" != "b1  /hello" ]; then
	echo "failed: got the answer \"$answer\", expected \"b1  /hello\""
	cat "$dir/e1.log"
	exit 1
fi
grep -q '"event":"route"' "$dir/e1.log"
echo "ok: backend server b1 answered the request"
