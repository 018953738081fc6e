package wire

import (
	"math"
	"strconv"
	"strings"
)

// LoadReported is the share of its cores in use that a load report tells, from 0 to 1, or below 0 if it tells none. Reports are
// noisy, so a figure just beyond these bounds counts as them; anything else that cannot be one is as if it were absent.
// The names are those that PROTOCOL and the settings' report.fields give the same figure; between stands between name and value.
func LoadReported(report, between string) float64 {
	for pair := range strings.SplitSeq(report, ",") {
		name, figure, _ := strings.Cut(pair, between)
		if name != "util" && name != "cpu" {
			continue
		}
		if v, err := strconv.ParseFloat(figure, 64); err == nil && !math.IsNaN(v) && v >= -1 && v <= 2 {
			return max(0, min(1, v))
		}
		return -1
	}
	return -1
}
