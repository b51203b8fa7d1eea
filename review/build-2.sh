#!/bin/sh
# Builds the stand-ins and the clients of the cases 6 to 10; run after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -d target/review-2 review/rig-2/*.java
