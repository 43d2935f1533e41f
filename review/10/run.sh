#!/bin/sh
# Runs the case (see claim.txt) and writes record.txt in this folder. TROUBLE=0 runs it without the
# disruption. Settings and logs are in a temporary folder (mktemp -d), which is removed.
cd "$(dirname "$0")" || exit 2
exec timeout 118 python3 -B case.py
