#!/usr/bin/env bash
# Compiles the stand-ins and the drivers of the cases into target/review. Needs only the JDK.
set -euo pipefail
cd "$(dirname "$0")/.."
source config/jdk.sh
rm -rf target/review
mkdir -p target/review
"$JAVA_HOME/bin/javac" --release 21 -d target/review review/*.java
