package wire

import (
	"errors"
	"net/http"
	"reflect"
	"strings"
	"testing"
	"time"
)

// A valid query is parsed completely; each of the others has one fault and is rejected as a bad request with a message.
func TestReadQuery(t *testing.T) {
	const valid = `{"segments":[{"segment":3,"boost":0.5,"work":9000,"affinity":"00aa00aa00aa00aa"},
		{"segment":9,"boost":0.5}],"text":"c4\n\u00e9"}`
	read := func(id, deadline, body string) (*Query, error) {
		header := http.Header{}
		header.Set("Req-Id", id)
		header.Set("Req-Deadline", deadline)
		header.Set("Req-Owner", "a, b")
		request := &Request{Method: "POST", Path: "/checkout/x", Header: header, Body: []byte(body)}
		return ReadQuery(request, QueryRules{MaxTimeout: 10 * time.Second})
	}
	query, err := read("9b1f", "0.480", valid)
	want := &Query{
		ID: "9b1f", Class: "checkout", Tenant: "a, b", Timeout: 480 * time.Millisecond, Text: []byte("c4\né"),
		Subqueries: []Subquery{{Shard: 3, Weight: 0.5, Hint: 9 * time.Millisecond}, {Shard: 9, Weight: 0.5}},
	}
	if err != nil || !reflect.DeepEqual(query, want) {
		t.Errorf("%+v, want %+v, %v", query, want, err)
	}
	for name, request := range map[string][3]string{
		"no id":               {"", "1", valid},
		"an id with a space":  {"a b", "1", valid},
		"a newline in the id": {"a\nb", "1", valid},
		"an id beyond ASCII":  {"é", "1", valid},
		"a long id":           {strings.Repeat("a", maxIDLength+1), "1", valid},
		"no deadline":         {"a", "", valid},
		"a deadline of 0":     {"a", "0", valid},
		"not a number":        {"a", "soon", valid},
		"NaN":                 {"a", "NaN", valid},
		"infinite deadline":   {"a", "Inf", valid},
		"hexadecimal":         {"a", "0x1p0", valid},
		"an exponent":         {"a", "1e0", valid},
		"a sign":              {"a", "+1", valid},
		"over the maximum":    {"a", "10.001", valid},
		"negative work":       {"a", "1", `{"segments":[{"segment":1,"boost":1,"work":-1}],"text":"x"}`},
		"malformed affinity":  {"a", "1", `{"segments":[{"segment":1,"boost":1,"affinity":"00\n"}],"text":"x"}`},
		"a boost of 0":        {"a", "1", `{"segments":[{"segment":1,"boost":1},{"segment":2,"boost":0}],"text":"x"}`},
		"an empty text":       {"a", "1", `{"segments":[{"segment":1,"boost":1}],"text":""}`},
		"a lone surrogate":    {"a", "1", `{"segments":[{"segment":1,"boost":1}],"text":"\ud800"}`},
		"invalid UTF-8":       {"a", "1", `{"segments":[{"segment":1,"boost":1}],"text":"` + "\xff" + `"}`},
		"no body":             {"a", "1", ""},
		"invalid JSON":        {"a", "1", "{"},
		"no segments":         {"a", "1", `{"segments":[],"text":"x"}`},
		"no text":             {"a", "1", `{"segments":[{"segment":1,"boost":1}]}`},
		"repeated segment": {"a", "1",
			`{"segments":[{"segment":1,"boost":1},{"segment":1,"boost":1}],"text":"x"}`},
		"no segment number":  {"a", "1", `{"segments":[{"boost":1}],"text":"x"}`},
		"a negative segment": {"a", "1", `{"segments":[{"segment":-1,"boost":1}],"text":"x"}`},
		"boosts over 1":      {"a", "1", `{"segments":[{"segment":1,"boost":1},{"segment":2,"boost":1}],"text":"x"}`},
		"boosts under 1":     {"a", "1", `{"segments":[{"segment":1,"boost":0.5}],"text":"x"}`},
		"an infinite sum":    {"a", "1", `{"segments":[{"segment":1,"boost":1e308},{"segment":2,"boost":1e308}],"text":"x"}`},
		"no boost":           {"a", "1", `{"segments":[{"segment":1}],"text":"x"}`},
		"a segment of 1.5":   {"a", "1", `{"segments":[{"segment":1.5,"boost":1}],"text":"x"}`},
	} {
		query, err := read(request[0], request[1], request[2])
		var rejection *ProtocolError
		if !errors.As(err, &rejection) || rejection.Status != http.StatusBadRequest || rejection.Message == "" {
			t.Errorf("%s: %v, %v", name, query, err)
		}
	}
}
