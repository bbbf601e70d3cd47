#!/bin/sh
# Exit 1: items ran later than CancelMs after the ack of their job's end; 0: none did; 2: the case could not run.
cd "$(dirname "$0")"
exec java -Xmx1500m -Droot="$(cd ../.. && pwd)" -Dcase="$(pwd)" -cp ../common-3/target EndedInGap
