#!/usr/bin/env bash
# TROUBLE=0 leaves out the disruption. Exits with 1 if the rule was broken, 0 if it held, 2 if the
# case could not run.
set -u
trouble=1
if [ "${TROUBLE:-1}" = 0 ]; then
  trouble=0
fi
source "$(dirname "$0")/../case.sh"
case_run ExtraRefusal "$(dirname "$0")" "$trouble"
