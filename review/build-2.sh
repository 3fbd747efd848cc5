#!/bin/sh
# Builds the stand-ins and the driver of the scripted cases of the second review, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -o target/cases2 ./review/cases2/platform
