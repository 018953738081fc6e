package coordinator

import (
	"log"
	"strings"
	"testing"
	"time"
)

// A replica that keeps closing connections must not flood the log: only a limited number of lines is written per
// second, followed by the number of suppressed lines.
func TestLimitedLogCountsSuppressedLines(t *testing.T) {
	var text strings.Builder
	limited := limitedLog{log: log.New(&text, "", 0)}
	for range maxLinesPerSecond + 7 {
		limited.printf(time.Second, "event=dropped")
	}
	limited.printf(2*time.Second, "event=other")
	limited.printf(3*time.Second, "event=other")
	want := strings.Repeat("event=dropped\n", maxLinesPerSecond) + "event=lines_suppressed n=7\nevent=other\nevent=other\n"
	if text.String() != want {
		t.Errorf("%s\nwant %s", text.String(), want)
	}
}
