package simwire

import (
	"encoding/base64"
	"time"

	"terntray/scheduler"
)

// event is an event that a message reports to an instance.
type event interface {
	// apply passes the event to the instance's scheduler.
	apply(to *instance, now time.Duration)
}

// decoders holds a decoder for each message that is an event of an instance's scheduler. A decoder reads the fields in
// the order of the wire; if it records an error in them, the event must not be used.
var decoders = map[string]func(*server, *fields) event{
	endpointsChanged: (*server).decodeEndpointsChanged,
	arrival:          decodeArrival,
	firstReply:       decodeFirstReply,
	attemptEnded:     decodeAttemptEnded,
	clientLeft:       decodeClientLeft,
	wakeup:           decodeWakeup,
	probeEnded:       decodeProbeEnded,
	gossipReceived:   decodeGossip,
}

// ignored is an event that a Scheduler does not handle.
type ignored struct{}

func (ignored) apply(*instance, time.Duration) {}

// endpointListEvent is a list of all endpoints, or of those that changed.
type endpointListEvent struct {
	endpoints []listedEndpoint
	complete  bool // endpoints that are not in the list are removed
	restored  bool // the list dates from before the instance was restarted
}

func (e endpointListEvent) apply(to *instance, now time.Duration) {
	to.scheduler.EndpointListBegins(now, e.complete, e.restored)
	for _, listed := range e.endpoints {
		to.scheduler.EndpointListed(now, listed.endpointFor(to))
	}
}

// endpointPollFailedEvent reports that polling the endpoint list has failed.
type endpointPollFailedEvent struct{}

func (endpointPollFailedEvent) apply(to *instance, now time.Duration) {
	to.scheduler.EndpointPollFailed(now)
}

func (s *server) decodeEndpointsChanged(f *fields) event {
	number := f.integerOr("page", -1)
	form := f.text("form")
	f.integerOr("version", 0)
	switch {
	case f.err != nil:
		return nil
	case form == formUnavailable:
		return endpointPollFailedEvent{}
	case form != formUpdate && form != formReplace && form != formRestored:
		f.fail("field form: unknown value %q", form)
		return nil
	}
	endpoints, known := s.endpointLists[number]
	if !known {
		f.fail("field page: unknown list %d", number)
	}
	return endpointListEvent{endpoints: endpoints, complete: form != formUpdate, restored: form == formRestored}
}

// queryEvent is the arrival of a query.
type queryEvent scheduler.QueryArrival

func (e queryEvent) apply(to *instance, now time.Duration) {
	to.scheduler.QueryArrives(now, scheduler.QueryArrival(e))
}

// subqueryEvent is the arrival of a subquery.
type subqueryEvent scheduler.SubqueryArrival

func (e subqueryEvent) apply(to *instance, now time.Duration) {
	to.scheduler.SubqueryArrives(now, scheduler.SubqueryArrival(e))
}

// decodeArrival decodes the arrival of a query if the shard is negative, and of a subquery otherwise.
func decodeArrival(_ *server, f *fields) event {
	id := scheduler.RequestID(f.id("requestId"))
	class := scheduler.ClassIndex(f.integer("type"))
	tenant := scheduler.TenantIndex(f.integerOr("billing", 0))
	f.text("item")
	timeLeft := f.duration("budget")
	workHint := microseconds(f.integerOr("sizeHint", 0))
	number := scheduler.QueryNumber(f.number("queryNo"))
	shard := f.number("segmentNo")
	measure := f.number("measure") // number of subqueries of a query, or weight of a subquery
	f.checkBool("repeat")
	f.checkBool("update")
	if shard < 0 {
		return queryEvent{ID: id, Number: number, Class: class, Tenant: tenant, TimeLeft: timeLeft,
			WorkHint: workHint, Subqueries: int(measure)}
	}
	return subqueryEvent{ID: id, Query: number, Shard: scheduler.ShardNumber(shard), Weight: measure,
		WorkHint: workHint}
}

// decodeFirstReply decodes the arrival of the beginning of an answer, which no class in the simulator uses.
func decodeFirstReply(_ *server, f *fields) event {
	f.id("requestId")
	f.id("replica")
	f.integer("copy")
	f.integer("waitTime")
	return ignored{}
}

// attemptEvent is the end of an attempt, with its replica's load report.
type attemptEvent struct {
	result  scheduler.AttemptResult
	replica scheduler.ReplicaID
	load    float64 // noLoad: not reported
}

func (e attemptEvent) apply(to *instance, now time.Duration) {
	if e.load >= 0 {
		to.scheduler.LoadReported(now, e.replica, e.load)
	}
	to.scheduler.AttemptEnds(now, e.result)
}

func decodeAttemptEnded(_ *server, f *fields) event {
	var ended attemptEvent
	ended.result.Subquery = scheduler.RequestID(f.id("requestId"))
	ended.result.Outcome = f.outcome("disposition")
	ended.replica = scheduler.ReplicaID(f.id("replica"))
	f.checkBool("closed")
	ended.result.Attempt = scheduler.AttemptNumber(f.integer("copy"))
	ended.result.Took = f.duration("waitTime")
	ended.load = f.load("pressure")
	return ended
}

// clientLeftEvent is the id of a query whose client no longer waits for the answer.
type clientLeftEvent scheduler.RequestID

func (e clientLeftEvent) apply(to *instance, now time.Duration) {
	to.scheduler.ForgetQuery(now, scheduler.RequestID(e))
}

func decodeClientLeft(_ *server, f *fields) event { return clientLeftEvent(f.id("requestId")) }

// wakeupEvent is the name under which the wakeup was scheduled.
type wakeupEvent string

func (e wakeupEvent) apply(to *instance, now time.Duration) { to.scheduler.Wakeup(now, string(e)) }

func decodeWakeup(_ *server, f *fields) event { return wakeupEvent(f.text("keyBack")) }

// decodeProbeEnded decodes the end of a probe that is not an attempt. A Scheduler sends no such probes.
func decodeProbeEnded(_ *server, f *fields) event {
	f.integer("waitTime")
	f.outcome("disposition")
	f.id("replica")
	f.load("pressure")
	return ignored{}
}

// gossipEvent is a gossip message from another co-ordinator.
type gossipEvent struct {
	from    scheduler.PeerIndex
	message []byte
}

func (e gossipEvent) apply(to *instance, now time.Duration) {
	if err := to.scheduler.GossipReceived(now, e.from, e.message); err != nil {
		to.write(logLine, err.Error())
	}
}

func decodeGossip(_ *server, f *fields) event {
	from := scheduler.PeerIndex(f.integer("src"))
	text := f.text("msg")
	if text == absentValue {
		text = ""
	}
	message, err := base64.StdEncoding.DecodeString(text)
	if err != nil {
		f.fail("field msg: invalid base64")
	}
	return gossipEvent{from: from, message: message}
}
