#!/bin/sh
# LOST: sound requests are refused that share a part of their prompt with ones that crash replicas.
# Run from anywhere after the build of the deploy file and review/build-2.sh. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/review-2/SharedPart.class ] && [ -f target/borageproxy.jar ] || { echo "not built" >&2; exit 2; }
exec java -Xmx256m -XX:+UseSerialGC -cp target/review-2 SharedPart review/6/record.txt
