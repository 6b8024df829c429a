#!/usr/bin/env bash
# Runs the case. With TROUBLE=0 it does the same without the disruption.
dir=$(cd "$(dirname "$0")" && pwd)
TROUBLE=${TROUBLE:-1}
source "$dir/../6/standins/case.sh" RenewedSamplers "$dir" "$TROUBLE"
