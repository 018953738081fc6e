package scheduler

import (
	"fmt"
	"hash/fnv"
)

// random generates numbers that depend only on the seed and the co-ordinator's index, so that a run can be repeated.
type random struct {
	seed      uint64
	selfIndex int
	draws     uint64 // calls of next so far
}

// next returns a pseudo-random number in [0, 1).
func (r *random) next() float64 {
	r.draws++
	return r.forKeys(r.draws, 0)
}

// forKeys returns a pseudo-random number in [0, 1) that is always the same for the same keys.
func (r *random) forKeys(key, subkey uint64) float64 {
	hash := fnv.New64a()
	fmt.Fprintln(hash, r.seed, r.selfIndex, key, subkey)
	return float64(hash.Sum64()>>11) / (1 << 53)
}
