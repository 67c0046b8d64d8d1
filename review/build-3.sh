#!/bin/sh
# Builds the stand-ins that the scripts of the third review start. The build line of
# deploy/system.toml comes before it.
cd "$(dirname "$0")/.." || exit 2
exec go build -o target/standins3 ./review/_standins3
