#!/usr/bin/env bash
# Guards against a soak that cannot see changed requests: serverd with "check"
# must record each kind of difference, and no run of a request that is not whole.
set -u
cd "$(dirname "$0")/.."
EDGE_PORT=${EDGE_PORT:-22040}
. scripts/edge.sh
runs_dir=$dir/runs
check_requests=1
mkdir "$runs_dir"
start_server 1
sleep 0.5

# The request of this id, as soak_request.c derives it.
id=s1-0-13
target='/upload/21640399b551a1a5/x?n=13&p=%2Fa%20b/../c&h=a72a36a5da30d31c'
key=9b9c7a81b5fa15e2
language='x-206156b32182bee2, en'
body='\x9e\xd8\x9c\xe9\x3f'
length='Content-Length: 5'
chunked='Transfer-Encoding: chunked'
chunks="2\r\n\x9e\xd8\r\n3\r\n\x9c\xe9\x3f\r\n0\r\n\r\n"

# Sends a request, closes the connection, and compares what serverd recorded.
expect() { # WHAT ID METHOD TARGET KEY FRAMING BODY RECORDED
	: >"$runs_dir/i-1"
	exec 3<>"/dev/tcp/127.21.1.1/$port"
	printf '%s %s HTTP/1.1\r\nHost: h.example\r\nExpect-Instance: i-1\r\n' "$3" "$4" >&3
	printf '%s' "${2:+Request-Id: $2$'\r\n'}" >&3
	printf 'X-Soak-Check: %s\r\nAccept-Language: %s\r\n%s\r\n\r\n' \
		"$5" "$language" "$6" >&3
	printf "$7" >&3
	sleep 0.1
	exec 3>&-
	sleep 0.1
	check "$1" "$(paste -s -d '|' "$runs_dir/i-1")" "$8"
}

expect "as sent" $id POST "$target" $key "$length" "$body" $id
expect "as sent, chunked" $id POST "$target" $key "$chunked" "$chunks" $id
expect "other method" $id PUT "$target" $key "$length" "$body" \
	"violation $id method is \"PUT\", sent was \"POST\"|$id"
expect "other path" $id POST "/u${target#/upload}" $key "$length" "$body" \
	"violation $id path is \"/u/21640399b551a1a5/x\", sent was \"/upload/21640399b551a1a5/x\"|$id"
expect "no query" $id POST "${target%%\?*}" $key "$length" "$body" \
	"violation $id query is \"\", sent was \"${target#*\?}\"|$id"
expect "other field" $id POST "$target" 9b "$length" "$body" \
	"violation $id X-Soak-Check is \"9b\", sent was \"$key\"|$id"
expect "last byte differs" $id POST "$target" $key "$length" "${body%3f}3e" \
	"violation $id byte 4 of 5 differs|$id"
expect "too long" $id POST "$target" $key "Content-Length: 6" "${body}x" \
	"violation $id length 6, sent were 5 bytes|violation $id ends after 6 of 5 bytes|$id"
expect "chunked, too short" $id POST "$target" $key "$chunked" \
	"${chunks%%3\\r*}0\r\n\r\n" "violation $id ends after 2 of 5 bytes|$id"
expect "not whole" $id POST "$target" $key "$length" "${body%'\x3f'}" ""
expect "chunked, not whole" $id POST "$target" $key "$chunked" \
	"${chunks%%0\\r*}" ""
expect "id that no caller sent" in-$id POST "$target" $key "$length" "$body" \
	"violation in-$id not an id of a caller: POST ${target%%\?*}|in-$id"
expect "no id" "" POST "$target" $key "$length" "$body" \
	"violation - no id: POST ${target%%\?*}"
set_fault early 1
expect "answered early" $id POST "$target" $key "$length" "$body" "early $id"
expect "answered early, then broken off" $id POST "$target" $key "$length" \
	'\x9e' "early $id"
expect "answered early, then other bytes" $id POST "$target" $key "$length" \
	'\x9eGET ' "early $id|violation $id byte 1 of 5 differs"
expect "answered early, then other bytes, broken off" $id POST "$target" $key \
	"$length" '\x9eGET' "early $id|violation $id byte 1 of 5 differs"
exit $failed
