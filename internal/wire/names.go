package wire

import "encoding/json"

// Names used on the wire, and the corresponding terms of the code. The former must not change, because deployed
// clients, replicas and discovery agents use them.

// Fields of a client's request.
const (
	headerQueryID  = "Req-Id"
	headerDeadline = "Req-Deadline" // how long the client waits, in seconds
	headerTenant   = "Req-Owner"
)

// queryBody is the body of a query. It and subqueryBody are unnamed types whose fields have the names on the wire,
// because the decoder's errors, which are sent to clients, quote Go types and fields.
type queryBody = struct {
	Segments json.RawMessage `json:"segments"` // an array of subqueryBody
	Text     *string         `json:"text"`
	Question json.RawMessage `json:"question"`
}

// subqueryBody is the part of a query's body for one shard.
type subqueryBody = struct {
	Segment  *int     `json:"segment"`  // the shard
	Boost    *float64 `json:"boost"`    // the weight
	Work     float64  `json:"work"`     // the client's estimate of the work, in microseconds
	Affinity *string  `json:"affinity"` // validated, but not used
}

// SubqueryValue is the value in a replica's reply to a subquery, unmodified.
type SubqueryValue struct {
	Shard   int    `json:"segment"`
	Payload string `json:"payload"`
}

// completeBody is the body of the response to a query that succeeded.
type completeBody struct {
	Complete bool            `json:"all_in"`
	Values   []SubqueryValue `json:"matches"`
}

// hitsBody is the body of the response to a two-phase query that succeeded.
type hitsBody struct {
	Complete bool      `json:"all_in"`
	Hits     []hitBody `json:"hits"`
}

type hitBody struct {
	Shard int     `json:"segment"`
	ID    string  `json:"id"`
	Score float64 `json:"score"`
}

// phaseRequest is the line that precedes the query's text in a subquery of a two-phase query.
type phaseRequest struct {
	Phase   string `json:"ask"`
	Limit   *int   `json:"best,omitempty"` // how many hits to return, highest scores first; absent: all matches
	Version string `json:"version,omitempty"`
}

// The phases of a two-phase query.
const (
	phaseCanMatch = "summary"
	phaseFetch    = "answer"
)

// summaryBody is a replica's reply in the can-match phase.
type summaryBody struct {
	Version string   `json:"version"`
	Count   *int     `json:"count"`
	Upper   *float64 `json:"upper"` // upper bound of the scores; absent: unknown
	Lower   *float64 `json:"lower"` // lower bound of the scores; absent: unknown
}

// answerBody is a replica's reply in the fetch phase.
type answerBody struct {
	Version string      `json:"version"`
	Hits    []answerHit `json:"hits"`
}

type answerHit struct {
	ID    string  `json:"id"`
	Score float64 `json:"score"`
}

// EndpointList is a discovery agent's list of all endpoints, or of those that changed.
type EndpointList struct {
	Revision  int64      `json:"rev"`
	All       bool       `json:"all"`
	Endpoints []Endpoint `json:"targets"`
}

// Endpoint is a replica's address and attributes, as discovery states them.
type Endpoint struct {
	UID     string `json:"uid"`
	Address string `json:"endpoint"`
	Zone    string `json:"az"`
	Model   string `json:"model"`
	Cell    *int   `json:"pod_group"`
	State   string `json:"state"`
	BootMS  int64  `json:"boot_ms"` // start of its process, Unix time in milliseconds; 0: unknown
}

// States of an endpoint.
const (
	Ready    = "ready"
	Draining = "draining"
	Removed  = "gone"
)

// pathEndpoints is the path of the endpoint list at a discovery agent.
const pathEndpoints = "/discovery/hosts"

// Letters that identify the types of frames between a co-ordinator and replicas.
const (
	frameCall    = 'R'
	frameAbandon = 'A'
	frameReply   = 'Y'
	frameRefusal = 'N' // the replica refused a frame as malformed
)

// ReplyStatus is the status in a replica's reply to a subquery.
type ReplyStatus string

// Statuses of a reply.
const (
	ReplyOK       ReplyStatus = "OK"
	ReplyError    ReplyStatus = "ERROR"
	ReplyRejected ReplyStatus = "REJECTED"
)

// Names under which load reports state the share of the cores in use.
const (
	loadUtil = "util"
	loadCPU  = "cpu"
)
