#!/bin/sh
# Exit 1: items of accepted jobs are never listed; 0: all are; 2: the case could not run.
cd "$(dirname "$0")"
exec java -Xmx1500m -Droot="$(cd ../.. && pwd)" -Dcase="$(pwd)" -cp ../common-3/target LeakedBodies
