#!/usr/bin/env bash
# Compiles the stand-ins and the scripts' drivers into target/review. Needs only the JDK.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
javac --release 17 -Xlint:-options -d target/review review/common/*.java review/[1-5]/*.java
