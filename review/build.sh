#!/usr/bin/env bash
# The stand-ins of the cases are Python modules without further packages; this checks that they load.
set -euo pipefail
cd "$(dirname "$0")/standins"
python3 -B -c 'import checks, fleet, wire_stand_ins'
