#!/bin/sh
# Builds the stand-ins of the scripted cases into review/bin, without the network.
set -eu
cd "$(dirname "$0")/.."
go build -o review/bin/standin ./review/platform
