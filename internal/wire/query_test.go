package wire

import (
	"errors"
	"net/http"
	"reflect"
	"strings"
	"testing"
	"time"
)

// A good query is read in full; each of the others lacks one thing and is refused as a bad request with a message.
func TestQueries(t *testing.T) {
	const good = `{"segments":[{"segment":3,"boost":0.5,"work":9000,"affinity":"00aa00aa00aa00aa"},
		{"segment":9,"boost":0.5}],"text":"c4\n\u00e9"}`
	ask := func(id, deadline, body string) (*Query, error) {
		header := http.Header{}
		header.Set("Req-Id", id)
		header.Set("Req-Deadline", deadline)
		header.Set("Req-Owner", "a, b")
		request := &Request{Method: "POST", Path: "/checkout/x", Header: header, Body: []byte(body)}
		return ReadQuery(request, QueryRules{MaxTimeout: 10 * time.Second})
	}
	query, err := ask("9b1f", "0.480", good)
	want := &Query{
		ID: "9b1f", Class: "checkout", Tenant: "a, b", Timeout: 480 * time.Millisecond, Text: []byte("c4\né"),
		Subqueries: []Subquery{{Shard: 3, Weight: 0.5, Hint: 9 * time.Millisecond}, {Shard: 9, Weight: 0.5}},
	}
	if err != nil || !reflect.DeepEqual(query, want) {
		t.Errorf("%+v, want %+v, %v", query, want, err)
	}
	for name, parts := range map[string][3]string{
		"no id":               {"", "1", good},
		"an id with a space":  {"a b", "1", good},
		"an id with an end":   {"a\nb", "1", good},
		"an id beyond ASCII":  {"é", "1", good},
		"a long id":           {strings.Repeat("a", maxIDLength+1), "1", good},
		"no deadline":         {"a", "", good},
		"a deadline of 0":     {"a", "0", good},
		"no number":           {"a", "soon", good},
		"NaN":                 {"a", "NaN", good},
		"an endless deadline": {"a", "Inf", good},
		"hexadecimal":         {"a", "0x1p0", good},
		"a power":             {"a", "1e0", good},
		"a sign":              {"a", "+1", good},
		"longer than meant":   {"a", "10.001", good},
		"work below 0":        {"a", "1", `{"segments":[{"segment":1,"boost":1,"work":-1}],"text":"x"}`},
		"no affinity":         {"a", "1", `{"segments":[{"segment":1,"boost":1,"affinity":"00\n"}],"text":"x"}`},
		"a share of 0":        {"a", "1", `{"segments":[{"segment":1,"boost":1},{"segment":2,"boost":0}],"text":"x"}`},
		"an empty text":       {"a", "1", `{"segments":[{"segment":1,"boost":1}],"text":""}`},
		"half a character":    {"a", "1", `{"segments":[{"segment":1,"boost":1}],"text":"\ud800"}`},
		"no UTF-8":            {"a", "1", `{"segments":[{"segment":1,"boost":1}],"text":"` + "\xff" + `"}`},
		"no body":             {"a", "1", ""},
		"no JSON":             {"a", "1", "{"},
		"no segments":         {"a", "1", `{"segments":[],"text":"x"}`},
		"no text":             {"a", "1", `{"segments":[{"segment":1,"boost":1}]}`},
		"one twice":           {"a", "1", `{"segments":[{"segment":1,"boost":1},{"segment":1,"boost":1}],"text":"x"}`},
		"no number of one":    {"a", "1", `{"segments":[{"boost":1}],"text":"x"}`},
		"below 0":             {"a", "1", `{"segments":[{"segment":-1,"boost":1}],"text":"x"}`},
		"shares over 1":       {"a", "1", `{"segments":[{"segment":1,"boost":1},{"segment":2,"boost":1}],"text":"x"}`},
		"shares under 1":      {"a", "1", `{"segments":[{"segment":1,"boost":0.5}],"text":"x"}`},
		"endless shares":      {"a", "1", `{"segments":[{"segment":1,"boost":1e308},{"segment":2,"boost":1e308}],"text":"x"}`},
		"no boost":            {"a", "1", `{"segments":[{"segment":1}],"text":"x"}`},
		"not a whole number":  {"a", "1", `{"segments":[{"segment":1.5,"boost":1}],"text":"x"}`},
	} {
		query, err := ask(parts[0], parts[1], parts[2])
		var refused *ProtocolError
		if !errors.As(err, &refused) || refused.Status != http.StatusBadRequest || refused.Message == "" {
			t.Errorf("%s: %v, %v", name, query, err)
		}
	}
}
