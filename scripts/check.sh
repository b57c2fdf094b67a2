#!/bin/sh
# Runs all test programs and integration tests, the fuzz targets and the
# sanitizer builds, and prints the totals.
set -u

exec sh scripts/run_tests.sh build/tests/test_* scripts/it_*.sh \
	scripts/ci_fuzz.sh scripts/ci_sanitize.sh
