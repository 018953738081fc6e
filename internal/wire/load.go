package wire

import (
	"math"
	"strconv"
	"strings"
)

// Reports are noisy: a load outside 0 to 1 but within these bounds is clamped; one beyond them is ignored.
const (
	minLoad = -1.0
	maxLoad = 2.0
)

// noLoad is the result for a report without a usable load.
const noLoad = -1

// ParseLoadReport returns the share of a replica's cores in use, from 0 to 1, as stated in its load report, or a
// negative value if the report states none. A report is a comma-separated list of pairs of name and value; separator is
// the text between the two.
func ParseLoadReport(report, separator string) float64 {
	for pair := range strings.SplitSeq(report, ",") {
		name, value, _ := strings.Cut(pair, separator)
		if name != loadUtil && name != loadCPU {
			continue
		}
		load, err := strconv.ParseFloat(value, 64)
		if err != nil || math.IsNaN(load) || load < minLoad || load > maxLoad {
			return noLoad
		}
		return max(0, min(1, load))
	}
	return noLoad
}
