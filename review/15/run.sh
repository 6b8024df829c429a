#!/usr/bin/env bash
# Runs case 15; needs deploy/build and review/build-3.sh. Exits with 1 if the rule was broken, 0 if
# it held, 2 if the case couldn't run. TROUBLE=0 runs it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
source config/jdk.sh || exit 2
"$JAVA_HOME/bin/java" -Xmx1500m "-Dproject=$PWD" -cp target/review-3:target/sycamoretrack-platform.jar \
  SharedModel review/15/record.txt
code=$?
case "$code" in
  0) exit 0 ;;
  10) exit 1 ;;
  *) exit 2 ;;
esac
