#!/bin/sh
# Runs the test programs and one entry VM with sanitizers, as one check of
# check.sh.
exec make --no-print-directory -j4 sanitize
