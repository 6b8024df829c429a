#!/usr/bin/env bash
# Builds the stand-ins and clients of the cases 11 to 15 into target/review-3. Run deploy/build
# first: they use the JSON library in its jar.
set -euo pipefail
cd "$(dirname "$0")/.."
source config/jdk.sh
out=target/review-3
rm -rf "$out"
mkdir -p "$out"
"$JAVA_HOME/bin/javac" -nowarn -d "$out" -cp target/sycamoretrack-platform.jar review/11/standins/*.java review/1[1-5]/*.java
