#!/bin/sh
# Needs the build of the deploy file and review/build.sh. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/review/FrozenCoordinator.class ] || exit 2
exec java -cp target/review FrozenCoordinator review/3
