package wire

import (
	"bytes"
	"encoding/json"
	"math"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"
)

const (
	maxIDLength     = 200    // bytes of a query's id
	maxLimit        = 10_000 // hits that a two-phase query may request
	maxHintSeconds  = 86400  // largest estimate of the work that a client may state
	weightTolerance = 0.001  // of the weights' sum, which must be 1: there may be many weights, rounded to six places
	affinityLength  = 16     // hexadecimal digits
	maxNesting      = 32     // levels of a body; the JSON decoder's state for each takes many times its byte
)

// Query is a client's query.
type Query struct {
	ID         string
	Class      string
	Tenant     string        // empty: not stated
	Timeout    time.Duration // how long the client waits, from the time it sent the query
	Text       []byte
	Subqueries []Subquery
	TwoPhase   *TwoPhaseQuery // nil: not a two-phase query, or its class does not allow two-phase queries
}

// Subquery is the part of a query for one shard.
type Subquery struct {
	Shard  int
	Weight float64       // importance of its value for the client; the weights of a query add up to 1
	Hint   time.Duration // the client's estimate of the work; 0: none
}

// TwoPhaseQuery holds the options of a query that may be executed in two phases, because replicas can state bounds for
// the scores of its hits (docs/phases.md).
type TwoPhaseQuery struct {
	Limit *int `json:"best"` // how many hits to return, highest scores first; nil: all matches
}

// QueryRules holds the restrictions that apply to the queries of a class.
type QueryRules struct {
	MaxTimeout time.Duration
	TwoPhase   bool // two-phase queries are allowed
}

// ReadQuery parses and validates the query in a request. An error is a ProtocolError.
func ReadQuery(request *Request, rules QueryRules) (*Query, error) {
	query := &Query{
		ID:     request.Header.Get(headerQueryID),
		Class:  request.Class(),
		Tenant: request.Header.Get(headerTenant),
	}
	if !isUsableID(query.ID) {
		return nil, badRequest("Req-Id is missing or not of 1 to %d plain characters", maxIDLength)
	}
	var err error
	if query.Timeout, err = readTimeout(request.Header.Get(headerDeadline), rules.MaxTimeout); err != nil {
		return nil, err
	}
	body, err := readQueryBody(request.Body)
	if err != nil {
		return nil, err
	}
	query.Text = []byte(*body.Text)
	if rules.TwoPhase && body.Question != nil {
		if query.TwoPhase, err = readTwoPhase(body.Question); err != nil {
			return nil, err
		}
	}
	if query.Subqueries, err = readSubqueries(body.Segments); err != nil {
		return nil, err
	}
	return query, nil
}

// isUsableID reports whether an id can be written into a line of a frame without ending the line or its field.
func isUsableID(id string) bool {
	for _, character := range []byte(id) {
		if character <= ' ' || character >= 0x7f {
			return false
		}
	}
	return id != "" && len(id) <= maxIDLength
}

func readTimeout(text string, maximum time.Duration) (time.Duration, error) {
	seconds, err := strconv.ParseFloat(text, 64)
	isPlain := err == nil && strings.Trim(text, "0123456789.") == ""
	if !isPlain || !(seconds > 0 && seconds <= maximum.Seconds()) {
		return 0, badRequest("Req-Deadline is missing, or no number of seconds that can be meant")
	}
	return time.Duration(seconds * float64(time.Second)), nil
}

// readQueryBody decodes a body, which must have subqueries and a text. Invalid UTF-8 is rejected, because decoding
// would replace it and change the text that the replicas get.
func readQueryBody(text []byte) (*queryBody, error) {
	if !utf8.Valid(text) {
		return nil, badRequest("the body is no UTF-8")
	}
	if isNestedDeeper(text, maxNesting) {
		return nil, badRequest("the body is nested deeper than %d levels", maxNesting)
	}
	body := &queryBody{}
	if err := json.Unmarshal(text, body); err != nil {
		return nil, badRequest("the body is not the JSON of a query: %v", err)
	}
	hasText := body.Text != nil && *body.Text != "" && !strings.ContainsRune(*body.Text, utf8.RuneError)
	if len(body.Segments) == 0 || !hasText {
		return nil, errNoSegments
	}
	return body, nil
}

// isNestedDeeper reports whether arrays and objects in a JSON text are nested deeper than a number of levels.
func isNestedDeeper(text []byte, levels int) bool {
	depth := 0
	inString := false
	for n := 0; n < len(text); n++ {
		switch character := text[n]; {
		case inString && character == '\\':
			n++ // the escaped character does not end the string
		case character == '"':
			inString = !inString
		case inString:
		case character == '[' || character == '{':
			depth++
		case character == ']' || character == '}':
			depth--
		}
		if depth > levels {
			return true
		}
	}
	return false
}

func readTwoPhase(text json.RawMessage) (*TwoPhaseQuery, error) {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	var query *TwoPhaseQuery
	err := decoder.Decode(&query)
	if err != nil || query == nil || !query.isUsable() {
		return nil, badRequest("the question is none, or wants less than 0 or more than %d", maxLimit)
	}
	return query, nil
}

func (query *TwoPhaseQuery) isUsable() bool {
	return query.Limit == nil || *query.Limit >= 0 && *query.Limit <= maxLimit
}

// errNoSegments reports a query without subqueries.
var errNoSegments = badRequest("the query has no segments or no usable text")

// readSubqueries reads the subqueries. It stops at the first one that is not usable, so that a body of very many empty ones
// costs no memory.
func readSubqueries(text json.RawMessage) ([]Subquery, error) {
	decoder := json.NewDecoder(bytes.NewReader(text))
	opening, err := decoder.Token()
	switch {
	case err != nil || opening == nil:
		return nil, errNoSegments
	case opening != json.Delim('['):
		return nil, badRequest("the body is not the JSON of a query: its segments are no array")
	}
	list := subqueryList{shards: map[int]bool{}}
	for decoder.More() {
		body := subqueryBody{}
		if err := decoder.Decode(&body); err != nil {
			return nil, badRequest("the body is not the JSON of a query: %v", err)
		}
		if err := list.add(&body); err != nil {
			return nil, err
		}
	}
	return list.checked()
}

// subqueryList collects the subqueries of a query.
type subqueryList struct {
	all    []Subquery
	shards map[int]bool
	weight float64 // sum
}

// add adds a subquery. No two may have the same shard.
func (list *subqueryList) add(body *subqueryBody) error {
	number := len(list.all)
	if !hasShardAndWeight(body) {
		return badRequest("segments[%d] has no usable segment and boost", number)
	}
	if !hasUsableHints(body) {
		return badRequest("segments[%d] has no usable work or affinity", number)
	}
	if list.shards[*body.Segment] {
		return badRequest("segment %d stands twice", *body.Segment)
	}
	list.shards[*body.Segment] = true
	list.weight += *body.Boost
	hint := time.Duration(body.Work) * time.Microsecond
	list.all = append(list.all, Subquery{Shard: *body.Segment, Weight: *body.Boost, Hint: hint})
	return nil
}

// checked returns the subqueries. Their weights must add up to 1: with a larger sum a response could count as complete while
// values are missing.
func (list *subqueryList) checked() ([]Subquery, error) {
	if len(list.all) == 0 {
		return nil, errNoSegments
	}
	if math.Abs(list.weight-1) > weightTolerance {
		return nil, badRequest("the boosts add up to %g, not to 1", list.weight)
	}
	return list.all, nil
}

func hasShardAndWeight(body *subqueryBody) bool {
	if body.Segment == nil || body.Boost == nil {
		return false
	}
	return *body.Segment >= 0 && *body.Boost > 0 && *body.Boost <= 1+weightTolerance
}

func hasUsableHints(body *subqueryBody) bool {
	usableWork := body.Work >= 0 && body.Work <= maxHintSeconds*1e6
	return usableWork && (body.Affinity == nil || isAffinity(*body.Affinity))
}

func isAffinity(text string) bool {
	return len(text) == affinityLength && strings.Trim(text, "0123456789abcdefABCDEF") == ""
}
