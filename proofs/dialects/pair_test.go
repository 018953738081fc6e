package main

import (
	"net/http"
	"testing"
	"time"

	"terntray/internal/fake"
)

// Guards against a comparison that overlooks a difference between the protocols: in the status, or in whether the latency
// objective was met. Latencies alone may differ.
func TestPairTellsOutcomesApart(t *testing.T) {
	result := func(status int, latency time.Duration) fake.LoadResult {
		return fake.LoadResult{Status: status, Latency: latency}
	}
	const soon, late = time.Millisecond, objective + time.Millisecond
	for name, test := range map[string]struct {
		frames, http2 fake.LoadResult
		want          int
	}{
		"the same":                {result(http.StatusOK, soon), result(http.StatusOK, soon), 0},
		"another latency":         {result(http.StatusOK, soon), result(http.StatusOK, 2*soon), 0},
		"another status":          {result(http.StatusOK, soon), result(http.StatusServiceUnavailable, soon), 1},
		"the objective is missed": {result(http.StatusOK, soon), result(http.StatusOK, late), 1},
	} {
		played := pair{frames: []fake.LoadResult{test.frames}, http2: []fake.LoadResult{test.http2}}
		if got := played.countDifferences(); got != test.want {
			t.Errorf("%s: %d differences, want %d", name, got, test.want)
		}
	}
}
