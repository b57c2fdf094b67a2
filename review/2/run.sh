#!/bin/sh
set -- 2
. "$(dirname "$0")/../run-case.sh"
