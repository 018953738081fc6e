package simwire

import (
	"encoding/base64"
	"fmt"
	"strings"
	"time"

	"terntray/scheduler"
)

// instance is one co-ordinator. As its scheduler's Host it writes the scheduler's requests to the reply of the current
// batch.
type instance struct {
	number    int64
	startedAt int64                // microseconds of the simulation's clock
	scheduler *scheduler.Scheduler // nil: stopped or failed
	reply     strings.Builder
	active    bool // selected in the current batch
}

var _ scheduler.Host = (*instance)(nil)

// start starts or restarts the instance and discards what it has written to the current batch's reply.
func (i *instance) start(clock int64, seed uint64, settings map[string]string) {
	i.startedAt = clock
	i.stop()
	i.withRecover(func() {
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

// now returns the time since the instance was started.
func (i *instance) now(clock int64) time.Duration { return microseconds(clock - i.startedAt) }

// handle passes an event to the scheduler, if the instance is running.
func (i *instance) handle(received event, clock int64) {
	if i.scheduler != nil {
		i.withRecover(func() { received.apply(i, i.now(clock)) })
	}
}

// decide makes the scheduler decide on the events of a batch, if the instance is running.
func (i *instance) decide(clock int64) {
	if i.scheduler != nil {
		i.withRecover(func() { i.scheduler.Decide(i.now(clock)) })
	}
}

// withRecover runs call. If it panics, withRecover writes the cause to the reply as one line and stops the instance.
func (i *instance) withRecover(call func()) {
	defer func() {
		if cause := recover(); cause != nil {
			i.write(instanceFailed, strings.Join(strings.Fields(fmt.Sprint(cause)), " "))
			i.scheduler = nil
		}
	}()
	call()
}

// write appends a message to the reply.
func (i *instance) write(message string, values ...any) {
	i.reply.WriteString(message)
	for _, value := range values {
		fmt.Fprintf(&i.reply, "\t%v", value)
	}
	i.reply.WriteByte('\n')
}

// StartAttempt implements scheduler.Host, like the exported methods below.
func (i *instance) StartAttempt(subquery scheduler.RequestID, to scheduler.ReplicaID, timeout time.Duration) {
	i.write(startAttempt, subquery, to, timeout.Microseconds())
}

// CancelAttempt writes the subquery and the number of the attempt.
func (i *instance) CancelAttempt(subquery scheduler.RequestID, attempt scheduler.AttemptNumber) {
	i.write(cancelAttempt, subquery, attempt)
}

// Complete writes the query and whether its answer is complete.
func (i *instance) Complete(query scheduler.RequestID, complete bool) {
	i.write(completeQuery, query, wireBool(complete))
}

// Reject writes the query and the time after which to retry, in microseconds.
func (i *instance) Reject(query scheduler.RequestID, retryAfter time.Duration) {
	i.write(rejectQuery, query, retryAfter.Microseconds())
}

// Fail writes the query.
func (i *instance) Fail(query scheduler.RequestID) { i.write(failQuery, query) }

// ScheduleWakeup writes the wakeup's name and delay, in microseconds.
func (i *instance) ScheduleWakeup(name string, delay time.Duration) {
	i.write(scheduleWakeup, name, delay.Microseconds())
}

// PollEndpoints requests the endpoint list and its later changes.
func (i *instance) PollEndpoints() { i.write(pollEndpoints, boolTrue) }

// Broadcast writes the message in base64.
func (i *instance) Broadcast(message []byte) {
	i.write(broadcast, toEveryPeer, base64.StdEncoding.EncodeToString(message))
}

// Log writes a line for the simulation's log.
func (i *instance) Log(text string) { i.write(logLine, text) }

func wireBool(value bool) string {
	if value {
		return boolTrue
	}
	return boolFalse
}
