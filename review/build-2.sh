#!/bin/sh
# Builds what the scripts of the cases 6 to 10 start besides the programs of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/review-standin-2 ./review/standin2
