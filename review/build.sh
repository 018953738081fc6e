#!/bin/sh
# Builds the stand-ins of the cases. The program itself is built as the deploy file says.
cd "$(dirname "$0")/.." || exit 2
mkdir -p bin && go build -o bin/review-standin ./review/standin
