#!/bin/sh
set -- case-1
. "$(dirname "$0")/../run-case.sh"
