#!/bin/sh
# RECOVER: equal sound requests are refused for good after two replicas have crashed at once.
# Run from anywhere after the build of the deploy file and review/build-2.sh. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/review-2/SameLookup.class ] && [ -f target/borageproxy.jar ] || { echo "not built" >&2; exit 2; }
exec java -Xmx256m -XX:+UseSerialGC -cp target/review-2 SameLookup review/10/record.txt
