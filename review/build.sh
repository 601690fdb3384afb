#!/usr/bin/env bash
# Builds the stand-ins and the plays of the scripts. It needs the build of the deploy file
# for the project's own program.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review/cases ./review/cases
