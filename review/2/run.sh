#!/bin/sh
set -- case-2 responses-2
. "$(dirname "$0")/../run-case.sh"
