#!/bin/sh
set -- 4
. "$(dirname "$0")/../run-case.sh"
