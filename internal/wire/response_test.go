package wire

import (
	"strings"
	"testing"
	"time"
)

// Responses use the field names of the client protocol and state whether the connection is closed.
func TestResponses(t *testing.T) {
	got := string(CompleteResponse(false, []SubqueryValue{{Shard: 3, Payload: "5be<&"}}, true))
	for _, want := range []string{"HTTP/1.1 200 OK\r\n", "Connection: close\r\n",
		`{"all_in":false,"matches":[{"segment":3,"payload":"5be<&"}]}`} {
		if !strings.Contains(got, want) {
			t.Errorf("%q lacks %q", got, want)
		}
	}
	if got := string(RejectResponse(250*time.Millisecond, "x", false)); !strings.HasPrefix(got, "HTTP/1.1 503 ") ||
		!strings.Contains(got, "Retry-After: 0.250\r\n") {
		t.Errorf("%q", got)
	}
}
