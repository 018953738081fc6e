#!/bin/sh
# Plays the seed of the soak that once had attempts arrive long after they were written, beside three busy processes; see
# docs/incidents/replies-thrown-away-for-what-comes-behind.md. Exit status: 0 no rule was broken, 1 one was, 2 it could not run.
cd "$(dirname "$0")/../.." || exit 2
mkdir -p bin/proofs && go build -o bin/proofs/soak ./proofs/soak || exit 2
exec bin/proofs/soak -first 2 -seeds 1 -restarts 0
