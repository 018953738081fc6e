package wire

import (
	"math"
	"strconv"
	"strings"
)

// Reports are noisy: a figure just beyond 0 to 1 counts as the bound, one further off as none.
const (
	minLoad = -1.0
	maxLoad = 2.0
)

// noLoad stands for a report that tells no load.
const noLoad = -1

// ParseLoadReport is the share of its cores in use that a replica's load report tells, from 0 to 1, or below 0 if it
// tells none. A report is a list of pairs with commas; separator stands between a pair's name and value.
func ParseLoadReport(report, separator string) float64 {
	for pair := range strings.SplitSeq(report, ",") {
		name, figure, _ := strings.Cut(pair, separator)
		if name != loadUtil && name != loadCPU {
			continue
		}
		load, err := strconv.ParseFloat(figure, 64)
		if err != nil || math.IsNaN(load) || load < minLoad || load > maxLoad {
			return noLoad
		}
		return max(0, min(1, load))
	}
	return noLoad
}
