#!/bin/sh
set -- case-4
. "$(dirname "$0")/../run-case.sh"
