#!/usr/bin/env bash
# Integration test: the example bundles pass "bundle check".
set -eu
for file in examples/aaretal.json examples/tran.json; do
	build/currantpaddle bundle check "$file"
done
echo "ok: example bundles"
