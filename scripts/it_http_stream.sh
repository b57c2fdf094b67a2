#!/usr/bin/env bash
# Integration test: large request and answer bodies pass through an entry VM
# unchanged and in bounded memory. STREAM_MIB sets their size.
set -eu
exec build/tests/bench_frontend stream "${STREAM_MIB:-64}"
