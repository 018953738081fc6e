#!/bin/sh
# Runs the proof dialects for KNOWN-RED.txt. Exit status: 0 proved, 1 failed, 2 it could not run.
cd "$(dirname "$0")/../.." || exit 2
mkdir -p bin/proofs && go build -o bin/ ./cmd/... && go build -o bin/proofs/dialects ./proofs/dialects || exit 2
exec bin/proofs/dialects
