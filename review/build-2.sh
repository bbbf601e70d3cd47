#!/bin/sh
# Builds the stand-ins and clients of the cases 6 to 10; needs a JDK 17 only.
set -e
cd "$(dirname "$0")/.."
out=review/common-2/target
rm -rf "$out"
mkdir -p "$out"
javac -Xlint:all -d "$out" $(find review/common-2 review/6 review/7 review/8 review/9 review/10 -name '*.java' 2>/dev/null)
