package simwire

import (
	"encoding/base64"
	"fmt"
	"strings"
	"time"

	"terntray/scheduler"
)

// instance is one co-ordinator. As its scheduler's Host it writes what is asked of it for the present batch's reply.
type instance struct {
	number    int64
	startedAt int64                // microseconds of the simulation's clock
	scheduler *scheduler.Scheduler // nil: stopped, or failed
	reply     strings.Builder
	active    bool // selected in this batch
}

var _ scheduler.Host = (*instance)(nil)

// start begins a life of the instance; what an earlier one asked for in this batch is void.
func (i *instance) start(clock int64, seed uint64, settings map[string]string) {
	i.startedAt = clock
	i.stop()
	i.guard(func() {
		config, err := scheduler.ParseConfig(settings)
		if err != nil {
			i.write(instanceFailed, err.Error())
			return
		}
		created, err := scheduler.New(i, seed, config)
		if err != nil {
			i.write(instanceFailed, err.Error())
			return
		}
		i.scheduler = created
	})
}

func (i *instance) stop() {
	i.scheduler = nil
	i.reply.Reset()
}

// now is the time since the instance's start.
func (i *instance) now(clock int64) time.Duration { return microseconds(clock - i.startedAt) }

// take has a running instance take an event.
func (i *instance) take(received event, clock int64) {
	if i.scheduler != nil {
		i.guard(func() { received.apply(i, i.now(clock)) })
	}
}

// decide has a running instance decide on the events of a batch.
func (i *instance) decide(clock int64) {
	if i.scheduler != nil {
		i.guard(func() { i.scheduler.Decide(i.now(clock)) })
	}
}

// guard reports a panic of the scheduler in one line of the reply and stops the instance.
func (i *instance) guard(call func()) {
	defer func() {
		if cause := recover(); cause != nil {
			i.write(instanceFailed, strings.Join(strings.Fields(fmt.Sprint(cause)), " "))
			i.scheduler = nil
		}
	}()
	call()
}

// write adds a message to the reply.
func (i *instance) write(message string, values ...any) {
	i.reply.WriteString(message)
	for _, value := range values {
		fmt.Fprintf(&i.reply, "\t%v", value)
	}
	i.reply.WriteByte('\n')
}

// StartAttempt implements scheduler.Host, as do the methods that follow.
func (i *instance) StartAttempt(subquery scheduler.RequestID, to scheduler.ReplicaID, timeout time.Duration) {
	i.write(startAttempt, subquery, to, timeout.Microseconds())
}

// CancelAttempt names the attempt by its number.
func (i *instance) CancelAttempt(subquery scheduler.RequestID, attempt scheduler.AttemptNumber) {
	i.write(cancelAttempt, subquery, attempt)
}

// Complete tells whether the answer is complete.
func (i *instance) Complete(query scheduler.RequestID, complete bool) {
	i.write(completeQuery, query, wireBool(complete))
}

// Reject tells after how many microseconds to come again.
func (i *instance) Reject(query scheduler.RequestID, retryAfter time.Duration) {
	i.write(rejectQuery, query, retryAfter.Microseconds())
}

// Fail names the query.
func (i *instance) Fail(query scheduler.RequestID) { i.write(failQuery, query) }

// ScheduleWakeup tells after how many microseconds.
func (i *instance) ScheduleWakeup(name string, in time.Duration) {
	i.write(scheduleWakeup, name, in.Microseconds())
}

// PollEndpoints asks for the list and its changes.
func (i *instance) PollEndpoints() { i.write(pollEndpoints, boolTrue) }

// Broadcast sends the message as base64.
func (i *instance) Broadcast(message []byte) {
	i.write(broadcast, toEveryPeer, base64.StdEncoding.EncodeToString(message))
}

// Log writes a line of the simulation's log.
func (i *instance) Log(text string) { i.write(logLine, text) }

func wireBool(value bool) string {
	if value {
		return boolTrue
	}
	return boolFalse
}
