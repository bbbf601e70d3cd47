#!/bin/sh
# Builds the stand-ins and the cases of this review; needs the JDK only.
set -e
cd "$(dirname "$0")/common-3"
mkdir -p target
javac --release 17 -nowarn -d target src/*.java
