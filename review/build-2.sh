#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts into target/. The entry host's program is
# built by the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/standins2 ./review/_standins2
