#!/usr/bin/env bash
# Regenerates the committed protobuf classes from src/main/proto; needed only after a change there.
set -euo pipefail
cd "$(dirname "$0")/.."
version=4.34.2
# The artifacts of the compiler name the architectures differently.
case "$(uname -m)" in
  aarch64 | arm64) platform=linux-aarch_64 ;;
  *) platform=linux-x86_64 ;;
esac
mvn -B -ntp -q dependency:copy -Dartifact="com.google.protobuf:protoc:${version}:exe:${platform}" -DoutputDirectory=target/protoc
compiler="target/protoc/protoc-${version}-${platform}.exe"
chmod +x "$compiler"
"$compiler" --proto_path=src/main/proto --java_out=src/main/java src/main/proto/*.proto
