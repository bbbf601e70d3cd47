#!/bin/sh
# Exit 1: a caller got another tenant's data; 0: none did; 2: the case could not run.
cd "$(dirname "$0")"
exec java -Xmx1500m -Droot="$(cd ../.. && pwd)" -Dcase="$(pwd)" -cp ../common-3/target NamesJoined
