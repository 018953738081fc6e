package simwire

import "terntray/scheduler"

// The simulator uses names of its own for messages and values. They are mapped here to the terms that the rest of the
// program uses. Names of fields occur only in the decoders, which need them for errors.

// Messages from the simulator.
const (
	batchBegins      = "MARK"
	batchEnds        = "FLUSH"
	instanceSelected = "INSTANCE" // the messages that follow are for this co-ordinator
	listBegins       = "REGISTER" // a numbered list of endpoints; a given number of listEntry messages follows
	listEntry        = "ITEM"

	// To the selected instance.
	instanceStarts   = "PROVISION"
	instanceStops    = "EXIT"
	endpointsChanged = "REGISTRY"
	arrival          = "DEMAND" // of a query or a subquery
	firstReply       = "FIRST"
	attemptEnded     = "FINISHED"
	clientLeft       = "LAPSED"
	wakeup           = "WAKE"
	probeEnded       = "PROBE_DONE"
	gossipReceived   = "PEER_DATA"
)

// Messages to the simulator.
const (
	batchAnswered   = "NEXT"
	instanceAnswers = "ON_BEHALF" // the messages that follow are from this co-ordinator
	instanceFailed  = "EXCEPTION"
	logLine         = "EMIT"
	startAttempt    = "SUBMIT_TO"
	cancelAttempt   = "UNDO_SEND"
	completeQuery   = "ASSEMBLE"
	rejectQuery     = "PUSH_BACK"
	failQuery       = "DROP_REQUEST"
	scheduleWakeup  = "NOTIFY_ME"
	pollEndpoints   = "LISTEN"
	broadcast       = "POST"
)

// Values in fields.
const (
	absentValue      = "-"
	boolFalse        = "0"
	boolTrue         = "1"
	toEveryPeer      = "all"
	settingSeparator = "=" // between a setting's path and its value
	loadSeparator    = ":" // between name and value in a load report
)

// Forms of endpointsChanged.
const (
	formUnavailable = "unavailable" // the list is not available
	formUpdate      = "update"      // endpoints that are not in the list are unchanged
	formReplace     = "replace"     // the full list
	formRestored    = "restored"    // the full list as it was before the instance was restarted
)

var outcomes = map[int64]scheduler.Outcome{
	0:  scheduler.Succeeded,
	1:  scheduler.Cancelled,
	4:  scheduler.TimedOut,
	8:  scheduler.Overloaded,
	9:  scheduler.NeverSent,
	10: scheduler.ConnectionReset,
	13: scheduler.Failed,
	14: scheduler.Unreachable,
}

var endpointStates = map[string]scheduler.EndpointState{
	"active":  scheduler.Ready,
	"leaving": scheduler.Draining,
	"left":    scheduler.Removed,
}
