#!/usr/bin/env bash
# Regenerates the committed protobuf classes from src/main/proto; needed only after a change there.
set -euo pipefail
cd "$(dirname "$0")/.."
version=4.34.2
mvn -B -ntp -q dependency:copy -Dartifact="com.google.protobuf:protoc:${version}:exe:linux-x86_64" -DoutputDirectory=target/protoc
compiler="target/protoc/protoc-${version}-linux-x86_64.exe"
chmod +x "$compiler"
"$compiler" --proto_path=src/main/proto --java_out=src/main/java src/main/proto/*.proto
