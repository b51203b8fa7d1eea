#!/usr/bin/env bash
# Builds the stand-ins that the scripts start; needs nothing but the JDK.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -d target/review review/standins/*.java
