#!/bin/sh
# Plays the case; see claim.txt. Writes record.txt in this folder; all other files go to a
# temporary folder below /tmp. TROUBLE=0 leaves out the disruption.
TROUBLE="${TROUBLE:-1}"
export TROUBLE
exec python3 "$(dirname "$0")/case.py"
