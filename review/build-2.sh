#!/bin/sh
# Builds the stand-in that the scripts of the cases 6 to 10 start.
set -e
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/standin2 ./review/standin2
