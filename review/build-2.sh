#!/bin/sh
# Builds the driver of the scripts in review/6 to review/10, which has all their stand-ins: those of
# packages standinstore, standinworker and faultproxy, and the clients.
set -eu
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/review-driver-2 ./review/driver-2
