#!/usr/bin/env bash
# Builds the stand-ins and drivers of the scripts in review/6 to review/10 into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
source config/jdk.sh
rm -rf target/review-2
mkdir -p target/review-2
"$JAVA_HOME/bin/javac" -d target/review-2 review/6/standins/*.java review/[6-9]/*.java
