#!/usr/bin/env bash
dir=$(cd "$(dirname "$0")" && pwd)
source "$dir/../part2/case.sh" CancelledStep "$dir"
