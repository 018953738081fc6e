package wire

import (
	"testing"
)

// Load reports of several forms are parsed; an implausible load is ignored.
func TestParseLoadReport(t *testing.T) {
	for report, want := range map[string]float64{
		"inflight=7,util=0.61": 0.61, "active=1,rps=2.5,cpu=0.430": 0.43, "cpu=1.04": 1, "util=-0.01": 0,
		"-": -1, "": -1, "inflight=7": -1, "cpu=": -1, "cpu=NaN": -1, "cpu=1e9": -1, "cpu=-50": -1,
		"busy, very": -1, "cpu": -1,
	} {
		if got := ParseLoadReport(report, "="); got != want {
			t.Errorf("%q: %v, want %v", report, got, want)
		}
	}
}
