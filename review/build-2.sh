#!/bin/sh
# Builds the stand-ins of cases 4 to 8: they are Python's standard library only, so it checks that
# they import. Run after the build of deploy/system.toml, which the entry hosts need.
set -e
cd "$(dirname "$0")/.."
python3 -B -c 'import review.rig.checks, review.rig.rig'
