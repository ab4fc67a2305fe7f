#!/usr/bin/env bash
# Builds the stand-ins of the cases into review/target. Run it after the build of the deploy file,
# whose libraries the stand-in of the store uses.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
rm -rf review/target
mkdir -p review/target
javac -nowarn -d review/target -cp "target/node/lib/*" review/standins/*.java
