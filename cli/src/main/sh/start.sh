#!/bin/sh
# shellcheck disable=SC2086
exec java ${AGATESTREAM_JAVA_OPTIONS:--XX:+UseSerialGC -Xmx512m -XX:TieredStopAtLevel=4} -jar "$0" "$@"
