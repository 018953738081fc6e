package scheduler

import (
	"fmt"
	"hash/fnv"
)

// random draws numbers that depend on the seed and the co-ordinator's number alone, so that a run can be repeated.
type random struct {
	seed      uint64
	selfIndex int
	draws     uint64 // by next, so far
}

// next draws a number from 0 to under 1.
func (r *random) next() float64 {
	r.draws++
	return r.forKeys(r.draws, 0)
}

// forKeys is a number from 0 to under 1, always the same for the same arguments.
func (r *random) forKeys(what, other uint64) float64 {
	hash := fnv.New64a()
	fmt.Fprintln(hash, r.seed, r.selfIndex, what, other)
	return float64(hash.Sum64()>>11) / (1 << 53)
}
