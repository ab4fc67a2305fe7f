#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases 6 to 10 into target/review-2; needs the JDK only.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -Xlint:all,-options --release 17 -d target/review-2 review/standins-2/reviewkit/*.java
