package wire

import "encoding/json"

// The names that the protocols' wires use, and what they stand for. They are fixed: clients, replicas and
// discovery agents that are deployed speak them.

// Fields of a client's request.
const (
	headerQueryID  = "Req-Id"
	headerDeadline = "Req-Deadline" // how long the client waits, in seconds
	headerTenant   = "Req-Owner"
)

// queryBody is the body of a query. Clients read the decoder's errors, which quote Go types and fields: hence it and
// subqueryBody are unnamed types, and their fields have the wire's names.
type queryBody = struct {
	Segments []subqueryBody  `json:"segments"`
	Text     *string         `json:"text"`
	Question json.RawMessage `json:"question"`
}

// subqueryBody is what a query states for one shard.
type subqueryBody = struct {
	Segment  *int     `json:"segment"` // the shard
	Boost    *float64 `json:"boost"`   // the weight
	Work     float64  `json:"work"`    // the client's guess of the work, in microseconds
	Affinity *string  `json:"affinity"`
}

// SubqueryValue is the value that a subquery brought, as the replica gave it.
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

// phaseRequest is the line before the query's text in a subquery of a two-phase query.
type phaseRequest struct {
	Phase   string `json:"ask"`
	Limit   *int   `json:"best,omitempty"` // so many hits by score; absent: all that match
	Version string `json:"version,omitempty"`
}

// The phases of a two-phase query.
const (
	phaseCanMatch = "summary"
	phaseFetch    = "answer"
)

// summaryBody is what a replica answers in the phase can-match.
type summaryBody struct {
	Version string   `json:"version"`
	Count   *int     `json:"count"`
	Upper   *float64 `json:"upper"` // bound of the scores; absent: not known
	Lower   *float64 `json:"lower"`
}

// answerBody is what a replica answers in the phase fetch.
type answerBody struct {
	Version string       `json:"version"`
	Hits    []answerHits `json:"hits"`
}

type answerHits struct {
	ID    string  `json:"id"`
	Score float64 `json:"score"`
}

// EndpointList is what discovery tells: all endpoints, or those that changed.
type EndpointList struct {
	Revision  int64      `json:"rev"`
	All       bool       `json:"all"`
	Endpoints []Endpoint `json:"targets"`
}

// Endpoint is where a replica is reached, and what discovery says of it.
type Endpoint struct {
	UID     string `json:"uid"`
	Address string `json:"endpoint"`
	Zone    string `json:"az"`
	Model   string `json:"model"`
	Cell    *int   `json:"pod_group"`
	State   string `json:"state"`
	BootMS  int64  `json:"boot_ms"` // start of its process, Unix time in milliseconds; 0: not told
}

// The states of an endpoint.
const (
	Ready    = "ready"
	Draining = "draining"
	Removed  = "gone"
)

// pathEndpoints is the path of the discovery agent.
const pathEndpoints = "/discovery/hosts"

// The letters of the frames between a coordinator and replicas.
const (
	frameCall    = 'R'
	frameAbandon = 'A'
	frameReply   = 'Y'
	frameRefusal = 'N' // the replica could not use a frame
)

// ReplyStatus is how a replica says that a subquery ended.
type ReplyStatus string

// The statuses of a reply.
const (
	ReplyOK       ReplyStatus = "OK"
	ReplyError    ReplyStatus = "ERROR"
	ReplyRejected ReplyStatus = "REJECTED"
)

// The names under which load reports state the share of the cores in use.
const (
	loadUtil = "util"
	loadCPU  = "cpu"
)
