#!/usr/bin/env bash
# Runs the case "pipelined" of it_hostile_callers.sh: 300 callers that send 800
# requests each at once. Guards against pipelines that take a VM's memory.
cd "$(dirname "$0")/.."
exec bash scripts/it_hostile_callers.sh pipelined
