#!/bin/sh
# Builds the stand-ins of all cases: clients, rating servers and discovery. Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/standin ./review/standin
