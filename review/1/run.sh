#!/bin/sh
set -- 1
. "$(dirname "$0")/../run-case.sh"
