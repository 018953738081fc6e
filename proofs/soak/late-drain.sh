#!/bin/sh
# Plays the seed of the soak that once had attempts reach a replica too late after its drain, for KNOWN-RED.txt. Exit status: 0
# no rule was broken, 1 one was, 2 it could not run.
cd "$(dirname "$0")/../.." || exit 2
mkdir -p bin/proofs && go build -o bin/proofs/soak ./proofs/soak || exit 2
exec bin/proofs/soak -first 410 -seeds 0 -restarts 1
