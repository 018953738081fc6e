package main

import (
	"fmt"
	"time"

	"terntray/internal/fake"
	"terntray/internal/proof"
)

// pair is a scenario that was played with frames and with HTTP/2.
type pair struct {
	frames       []fake.LoadResult // by query, as many as with HTTP/2
	http2        []fake.LoadResult
	errs         []error
	longestStall time.Duration // of this process, while either was played
}

// playPair plays a scenario with each protocol, one after the other.
func playPair(program string, seed uint64, faulty bool) pair {
	detector := proof.DetectStalls()
	frames, framesErr := runScenario(program, seed, modelFrames, faulty)
	http2, http2Err := runScenario(program, seed, modelHTTP2, faulty)
	common := min(len(frames), len(http2))
	played := pair{frames: frames[:common], http2: http2[:common], longestStall: detector.Stop()}
	for _, err := range []error{framesErr, http2Err} {
		if err != nil {
			played.errs = append(played.errs, err)
		}
	}
	return played
}

// differs reports whether a query had another outcome with HTTP/2 than with frames.
func (p *pair) differs(index int) bool {
	frames, http2 := p.frames[index], p.http2[index]
	sameStatus := frames.Status == http2.Status
	return !sameStatus || frames.WithinObjective(objective) != http2.WithinObjective(objective)
}

func (p *pair) countDifferences() (count int) {
	for index := range p.frames {
		if p.differs(index) {
			count++
		}
	}
	return count
}

func (p *pair) printDifferences(seed uint64) {
	for index, frames := range p.frames {
		if p.differs(index) {
			http2 := p.http2[index]
			fmt.Printf("seed %d, query %d: frames: status %d in %v; HTTP/2: status %d in %v\n",
				seed, index, frames.Status, frames.Latency, http2.Status, http2.Latency)
		}
	}
}
