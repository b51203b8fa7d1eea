#!/usr/bin/env bash
# A replica sends a refusal twice, after a packet was lost. TROUBLE=0 leaves both out.
set -u
cd "$(dirname "$0")/../.."
exec timeout -k 2 118 java -Xmx192m -cp target/review SecondRefusal review/4
