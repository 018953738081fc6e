package server

import (
	"bytes"
	"net/http"
	"time"

	"terntray/internal/wire"
	"terntray/invariant"
)

// Paths of the operator pages. All other paths start with the name of a class.
const (
	pathUp        = "/up"
	pathCounters  = "/counters"
	pathEstimates = "/beliefs"
)

// idempotencyKey is the header field that carries the idempotency key of a Keyed request.
const idempotencyKey = "Idempotency-Key"

// dispatch answers a request or passes it to the event loop. It reports whether the connection stays open.
func (client *ClientConn) dispatch(request *wire.Request) (staysOpen bool) {
	client.beginRequest(request.Close)
	defer func() { client.admitted = false }()
	switch request.Path {
	case pathUp, pathCounters, pathEstimates:
		return client.dispatchPage(request)
	}
	class, known := client.server.classes[request.Class()]
	switch {
	case !known:
		return client.respondError(errUnknownClass)
	case request.Method != http.MethodPost:
		return client.respondError(errWrongMethod)
	case !client.admitted && !client.server.handler.Admit():
		return client.respondNow(Rejection("busy"))
	}
	if reason := class.unsupported(request.Header); reason != "" {
		client.postRefused()
		return client.respondNow(Text(http.StatusNotImplemented, reason))
	}
	return client.dispatchQuery(request, class)
}

// Errors for requests with an unknown path or an unsupported method.
var (
	errWrongMethod  = &wire.ProtocolError{Status: http.StatusMethodNotAllowed, Message: "this is for another method"}
	errUnknownClass = &wire.ProtocolError{Status: http.StatusNotFound, Message: "no track is called so"}
)

// beginRequest records that a request has been read. If last is set, the connection closes after its response.
func (client *ClientConn) beginRequest(last bool) {
	client.requestCount++
	client.closeAfterResponse.Store(last || client.discardedBytes > 0)
	client.idleSince.Store(0)
	if client.requestCount == 1 {
		client.server.noteFirstRequest(client)
	}
	client.requestOpen = true
	client.finalWaitEnds = time.Time{}
}

// dispatchPage answers a request for an operator page.
func (client *ClientConn) dispatchPage(request *wire.Request) (staysOpen bool) {
	if request.Method != http.MethodGet {
		return client.respondError(errWrongMethod)
	}
	handler := client.server.handler
	switch request.Path {
	case pathCounters:
		return client.respondOnLoop(handler.CountersText)
	case pathEstimates:
		return client.respondOnLoop(handler.EstimatesText)
	}
	if !handler.Ready() || client.server.isShuttingDown() {
		return client.respondNow(Text(http.StatusServiceUnavailable, "not ready"))
	}
	return client.respondNow(Text(http.StatusOK, "up"))
}

// respondOnLoop calls a function on the event loop and answers with the text that it returns.
func (client *ClientConn) respondOnLoop(text func() string) (staysOpen bool) {
	return client.server.loop.Post(func() { client.Respond(Text(http.StatusOK, text())) })
}

// unsupported returns why a query of the class cannot be executed over this protocol, or "" if it can. The text is sent
// to the client.
func (class *Class) unsupported(header http.Header) string {
	switch {
	case class.TwoStep:
		return "the protocol has no second step"
	case class.Effect == invariant.Keyed && header.Get(idempotencyKey) != "": // a retry without it would execute again
		return "a reference cannot be passed on to replicas"
	}
	return ""
}

// dispatchQuery parses a query and passes it to the event loop.
func (client *ClientConn) dispatchQuery(request *wire.Request, class Class) (staysOpen bool) {
	server := client.server
	receivedAt, known := client.receivedAt()
	query, err := wire.ReadQuery(request, wire.QueryRules{MaxTimeout: class.MaxTimeout, TwoPhase: class.TwoPhase})
	if err != nil {
		return client.respondError(err)
	}
	arrival := Arrival{
		Client:          client,
		Query:           query,
		ReceivedAt:      receivedAt,
		ReceivedAtKnown: known,
		ParsedAt:        server.now(),
	}
	return server.loop.Post(func() { server.handler.QueryArrived(arrival) })
}

// rejectWhileShedding rejects buffered requests without parsing them during load shedding, when CPU time is too scarce
// for parsing requests that would be rejected anyway. It reports whether the connection stays open. A request that
// PeekSimple cannot delimit is parsed as usual and may be rejected afterwards by dispatch.
func (client *ClientConn) rejectWhileShedding() (staysOpen bool) {
	handler := client.server.handler
	for !client.admitted && handler.IsSheddingLoad() {
		path, size := client.requests.PeekSimple()
		name, _, _ := bytes.Cut(path, []byte("/"))
		_, known := client.server.classes[string(name)]
		if size == 0 || !known {
			return true
		}
		client.admitted = handler.Admit()
		if client.admitted {
			return true
		}
		client.requests.Consume(size)
		client.beginRequest(false)
		if !client.respondNow(Rejection("busy")) {
			return false
		}
	}
	return true
}
