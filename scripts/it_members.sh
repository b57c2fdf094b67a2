#!/usr/bin/env bash
# Integration test: three entry VMs with the same CURVE keys. Only the first has
# a bundle file; the others must receive the bundle from a peer. A fourth VM
# with another key pair must not receive it.
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

# Example key pairs of the ZeroMQ documentation, for this test only.
public='rq:rM>}U?@Lns47E1%kR.o@n%FcmmsL/@{H8]yf7'
secret='JTKVSB%%)wK0E.X)V>+}o?pNmC{O&4W4b!Ni{Lh6'
other_public='Yne@$w-vo<fVvi]a<NY6T1ed:M$fCG*[IaLV{hID'
other_secret='D:)Q[IlAW!ahhC2ac:9*A}h:p?([4%wOTJ%JR%cs'

cp=build/currantpaddle
$cp bundle keygen "$dir/ops" >"$dir/public"
cat >"$dir/bundle.json" <<JSON
{
	"name": "members", "version": 1,
	"regions": [ { "id": "r1", "zones": [ "z1" ] } ],
	"services": [ {
		"id": "echo", "floor_slots": 3, "deadline_ms": 2000,
		"profile": "fast",
		"backend_servers": [ {
			"id": "b1", "zone": "z1", "address": "127.0.20.101",
			"port": 20101, "slots": 6, "connections": 400
		} ]
	} ],
	"routes": [ { "prefix": "/", "service": "echo" } ]
}
JSON
$cp bundle sign --key "$dir/ops.secret" --output "$dir/bundle.signed" \
	"$dir/bundle.json"

start_vm() { # VM PUBLIC_KEY SECRET_KEY [SETTING]
	cat >"$dir/e$1.json" <<JSON
{
	"id": "e$1", "region": "r1", "zone": "z1",
	"caller": { "address": "127.0.20.11$1", "port": 20110 },
	"admin": { "address": "127.0.20.11$1", "port": 20111, "tokens": [] },
	"peer": {
		"address": "127.0.20.11$1", "port": 20112,
		"public_key": "$2", "secret_key": "$3",
		"seeds": [
			{ "address": "127.0.20.111", "port": 20112 },
			{ "address": "127.0.20.112", "port": 20112 }
		]
	},
	${4:-}
	"bundle_keys": [ "$(cat "$dir/public")" ]
}
JSON
	$cp entry --settings "$dir/e$1.json" 2>"$dir/e$1.log" &
	pids+=($!)
}

start_vm 1 "$public" "$secret" "\"bundle_file\": \"$dir/bundle.signed\","
start_vm 2 "$public" "$secret"
start_vm 3 "$public" "$secret"
start_vm 4 "$other_public" "$other_secret"
for _ in $(seq 100); do
	count=$(cat "$dir"/e[123].log | grep -c 'version 1 is in force' || true)
	[ "$count" -lt 3 ] || break
	sleep 0.1
done
if [ "$count" -ne 3 ]; then
	echo "failed: the bundle is in force on $count VMs, expected 3"
	cat "$dir"/*.log
	exit 1
fi
sleep 2
if grep -q 'version 1 is in force' "$dir/e4.log"; then
	echo "failed: a VM with another key received the bundle"
	exit 1
fi
echo "ok: 2 VMs received the bundle from a peer, a VM with another key did not"
