#!/usr/bin/env bash
# One replica answers a report with bytes without end. TROUBLE=0 leaves that out.
set -u
cd "$(dirname "$0")/../.."
exec timeout -k 2 118 java -Xmx192m -cp target/review EndlessReport review/3
