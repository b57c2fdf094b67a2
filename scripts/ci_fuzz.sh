#!/bin/sh
# Runs the fuzz targets with bounded inputs, as one check of check.sh.
exec make --no-print-directory -j4 fuzz
