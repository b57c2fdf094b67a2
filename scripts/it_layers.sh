#!/usr/bin/env bash
# Checks the layers of the program: decisions know no sockets and no encodings,
# tables know no systems, and only platform/ knows the users' platform.
set -u
cd "$(dirname "$0")/.."
failed=0

# Lines of the files that match, which should be none.
none() { # WHAT PATTERN FILE...
	local what=$1 pattern=$2 found
	shift 2
	found=$(grep -nE "$pattern" "$@")
	if [ -z "$found" ]; then
		echo "ok: $what"
	else
		echo "FAILED: $what:"
		echo "$found"
		failed=1
	fi
}

of() { # PREFIX... ; sources and headers of modules of an edge VM
	local m
	for m in "$@"; do
		ls src/edge/"$m".[ch]
	done
}

encodings='#include [<"](sys/socket|sys/epoll|poll|civetweb|zmq|msgpack|mpack|json-c/|http_parser|mpk|cdc|hreq|rsp|call|link|cin)(\.h|/|>|")'
none "decisions of an edge VM know no sockets and no encodings" "$encodings" \
	$(of bud gate hlth load mem pick srv)
none "decisions of an entry VM know no sockets and no encodings" \
	'#include [<"](sys/socket|sys/epoll|poll|civetweb|zmq|mpack|json-c/|http_parser|mpk|wire|peer|up|plath)(\.h|/|>|")' \
	src/{adm,alc,alcd,alcg,alcr,clm,det,detb,detl,detp,drn,ejct,goss,hold,holdo,mbr,rol,rtry}.c
none "the tables of an edge VM know no system" \
	'#include "(bud|gate|hlth|load|mem|news|pick|req|srv|sync)\.h"' \
	src/edge/edge.h src/edge/conf.h
none "the tables of an entry VM know no system" \
	'#include "(adm|alc|clm|core|det|drn|ejct|goss|hold|mbr|rol|rtry)[a-z]*\.h"' \
	src/rows.h
none "only main.c knows the adapter" '#include "pf_' \
	$(ls src/*.[ch] src/edge/*.[ch] | grep -v '^src/main\.c$')
none "only platform/ knows the platform's names" \
	'rows-|Expect-Instance|Not-Executed|Response-Signature|(^|[^-])Deadline-Ms|warmup_left|traffic_split' \
	src/*.[ch] src/edge/*.[ch]
long=$(wc -l src/*.[ch] src/edge/*.[ch] platform/*.[ch] |
	awk '$2 != "total" && $1 > 600')
if [ -z "$long" ]; then
	echo "ok: no file over 600 lines"
else
	echo "FAILED: files over 600 lines: $long"
	failed=1
fi
exit $failed
