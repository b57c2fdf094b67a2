#!/usr/bin/env bash
# Integration test: an entry VM without a bundle answers requests and address
# queries with 503 and the outcome not-run.
set -eu
dir=$(mktemp -d)
pid=
cleanup() {
	[ -z "$pid" ] || kill -KILL "$pid" 2>/dev/null || true
	wait 2>/dev/null || true
	rm -rf "$dir"
}
trap cleanup EXIT

cp=build/currantpaddle
$cp bundle keygen "$dir/ops" >"$dir/public"
cat >"$dir/e1.json" <<JSON
{
	"id": "e1", "region": "r1", "zone": "z1",
	"caller": { "address": "127.0.23.5", "port": 23500 },
	"admin": { "address": "127.0.23.5", "port": 23502, "tokens": [] },
	"peer": { "address": "127.0.23.5", "port": 23503 },
	"bundle_keys": [ "$(cat "$dir/public")" ]
}
JSON
$cp entry --settings "$dir/e1.json" 2>"$dir/e1.log" &
pid=$!
for path in / /.currantpaddle/addresses; do
	answer=
	for _ in $(seq 50); do
		answer=$(curl -s -i -m 2 "http://127.0.23.5:23500$path" || true)
		[ -z "$answer" ] || break
		sleep 0.1
	done
	case $answer in
	"HTTP/1.1 503 "*"X-Currantpaddle-Outcome: not-run"*) ;;
	*)
		echo "unexpected answer for $path: $answer"
		exit 1
		;;
	esac
done
echo "ok: requests without a bundle are refused as not run"
