package server

import (
	"bytes"
	"net/http"
	"time"

	"terntray/internal/wire"
	"terntray/invariant"
)

// The pages for operators. All other paths begin with a class of queries.
const (
	pathUp        = "/up"
	pathCounters  = "/counters"
	pathEstimates = "/beliefs"
)

// idempotencyKey is the field in which clients mark requests of keyed classes.
const idempotencyKey = "Idempotency-Key"

// dispatch answers a request or hands it over to the loop; it tells whether the connection goes on.
func (client *ClientConn) dispatch(request *wire.Request, receivedAt time.Duration) (goesOn bool) {
	client.beginRequest(request.Close)
	defer func() { client.admitted = false }()
	switch request.Path {
	case pathUp, pathCounters, pathEstimates:
		return client.dispatchPage(request)
	}
	class, known := client.server.classes[request.Class()]
	switch {
	case !known:
		return client.refuse(unknownClass)
	case request.Method != http.MethodPost:
		return client.refuse(wrongMethod)
	case !client.admitted && !client.server.handler.Admit():
		return client.respondNow(Rejection("busy"))
	}
	if lacks := class.unsupported(request.Header); lacks != "" {
		client.postRefused()
		return client.respondNow(Text(http.StatusNotImplemented, lacks))
	}
	return client.dispatchQuery(request, class, receivedAt)
}

// The errors of requests whose path and method mean nothing here.
var (
	wrongMethod  = &wire.ProtocolError{Status: http.StatusMethodNotAllowed, Message: "this is for another method"}
	unknownClass = &wire.ProtocolError{Status: http.StatusNotFound, Message: "no track is called so"}
)

// beginRequest notes that a request has been read.
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

// dispatchPage answers one of the operators' pages.
func (client *ClientConn) dispatchPage(request *wire.Request) (goesOn bool) {
	if request.Method != http.MethodGet {
		return client.refuse(wrongMethod)
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

// respondOnLoop has the loop answer with a text that it makes.
func (client *ClientConn) respondOnLoop(text func() string) (goesOn bool) {
	return client.server.loop.Post(func() { client.Respond(Text(http.StatusOK, text())) })
}

// unsupported is what the clients' protocol lacks for a query of the class; empty: nothing.
func (class *Class) unsupported(header http.Header) string {
	switch {
	case class.TwoStep:
		return "the protocol has no second step"
	case class.Effect == invariant.Keyed && header.Get(idempotencyKey) != "": // without the key a repeat would run
		return "a reference cannot be passed on to replicas"
	}
	return ""
}

// dispatchQuery reads a query and hands it over to the loop.
func (client *ClientConn) dispatchQuery(request *wire.Request, class Class, receivedAt time.Duration) (goesOn bool) {
	server := client.server
	query, err := wire.ReadQuery(request, wire.QueryRules{MaxTimeout: class.MaxTimeout, TwoPhase: class.TwoPhase})
	if err != nil {
		return client.refuse(err)
	}
	arrival := Arrival{Client: client, Query: query, ReceivedAt: receivedAt, ParsedAt: server.now()}
	return server.loop.Post(func() { server.handler.QueryArrived(arrival) })
}

// rejectWhileShedding rejects requests by their heads alone while load is shed; it tells whether the connection
// goes on. Otherwise the core, which is what is short then, would be spent on parsing what is rejected. A request
// whose head is out of the ordinary is parsed as ever, and rejected after that (dispatch).
func (client *ClientConn) rejectWhileShedding() (goesOn bool) {
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
