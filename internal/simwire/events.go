package simwire

import (
	"encoding/base64"
	"time"

	"terntray/scheduler"
)

// event is what a message tells an instance.
type event interface {
	// apply tells the instance's scheduler of the event.
	apply(to *instance, now time.Duration)
}

// decoders are the events that an instance with a scheduler takes. Each reads its fields in the order of the wire;
// the event is void if the fields have a fault.
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

// ignored is an event that means nothing to a Scheduler.
type ignored struct{}

func (ignored) apply(*instance, time.Duration) {}

// endpointListEvent is a list of endpoints, or of changes of one.
type endpointListEvent struct {
	endpoints []listedEndpoint
	whole     bool // what is not in the list is removed
	restored  bool // it is as old as the instance's earlier life
}

func (e endpointListEvent) apply(to *instance, now time.Duration) {
	to.scheduler.EndpointListBegins(now, e.whole, e.restored)
	for _, listed := range e.endpoints {
		to.scheduler.EndpointListed(now, listed.endpointFor(to))
	}
}

// endpointPollFailedEvent tells that a poll of the list has failed.
type endpointPollFailedEvent struct{}

func (endpointPollFailedEvent) apply(to *instance, now time.Duration) {
	to.scheduler.EndpointPollFailed(now)
}

func (s *server) decodeEndpointsChanged(f *fields) event {
	page := f.integerOr("page", -1)
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
	endpoints, known := s.pages[page]
	if !known {
		f.fail("field page: no list %d", page)
	}
	return endpointListEvent{endpoints: endpoints, whole: form != formUpdate, restored: form == formRestored}
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

// decodeArrival reads a message that stands for a query where its shard is below 0, and for a subquery elsewhere.
func decodeArrival(_ *server, f *fields) event {
	id := scheduler.RequestID(f.id("requestId"))
	class := scheduler.ClassIndex(f.integer("type"))
	tenant := scheduler.TenantIndex(f.integerOr("billing", 0))
	f.text("item")
	timeLeft := f.span("budget")
	workHint := microseconds(f.integerOr("sizeHint", 0))
	number := scheduler.QueryNumber(f.number("queryNo"))
	shard := f.number("segmentNo")
	measure := f.number("measure") // of a query the number of subqueries, of a subquery its weight
	f.skipBool("repeat")
	f.skipBool("update")
	if shard < 0 {
		return queryEvent{ID: id, Number: number, Class: class, Tenant: tenant, TimeLeft: timeLeft,
			WorkHint: workHint, Subqueries: int(measure)}
	}
	return subqueryEvent{ID: id, Query: number, Shard: scheduler.ShardNumber(shard), Weight: measure, WorkHint: workHint}
}

// decodeFirstReply reads the begin of an answer, of which no class of this wire makes use.
func decodeFirstReply(_ *server, f *fields) event {
	f.id("requestId")
	f.id("replica")
	f.integer("copy")
	f.integer("waitTime")
	return ignored{}
}

// attemptEvent is the end of an attempt, and what its replica said of its load.
type attemptEvent struct {
	result  scheduler.AttemptResult
	replica scheduler.ReplicaID
	load    float64 // noLoad: nothing
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
	f.skipBool("closed")
	ended.result.Attempt = scheduler.AttemptNumber(f.integer("copy"))
	ended.result.Took = f.span("waitTime")
	ended.load = f.load("pressure")
	return ended
}

// clientLeftEvent names a query for which nobody waits any more.
type clientLeftEvent scheduler.RequestID

func (e clientLeftEvent) apply(to *instance, now time.Duration) {
	to.scheduler.ForgetQuery(now, scheduler.RequestID(e))
}

func decodeClientLeft(_ *server, f *fields) event { return clientLeftEvent(f.id("requestId")) }

// wakeupEvent is the name under which the wake-up was asked for.
type wakeupEvent string

func (e wakeupEvent) apply(to *instance, now time.Duration) { to.scheduler.Wakeup(now, string(e)) }

func decodeWakeup(_ *server, f *fields) event { return wakeupEvent(f.text("keyBack")) }

// decodeProbeEnded reads the end of a probe that is no attempt; a Scheduler sends none.
func decodeProbeEnded(_ *server, f *fields) event {
	f.integer("waitTime")
	f.outcome("disposition")
	f.id("replica")
	f.load("pressure")
	return ignored{}
}

// gossipEvent is a message of another co-ordinator.
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
		f.fail("field msg: no base64")
	}
	return gossipEvent{from: from, message: message}
}
