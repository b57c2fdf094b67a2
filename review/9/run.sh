#!/bin/sh
# Runs the case, with TROUBLE=0 without the disruption; needs the build of the
# deploy file and review/build-2.sh.
TROUBLE=${TROUBLE:-1}
export TROUBLE
cd "$(dirname "$0")/../.." || exit 2
for program in target/currantpaddle build/rowsd build/review-2/pipelined_stop; do
	[ -x "$program" ] || exit 2
done
exec build/review-2/pipelined_stop
