// Package replicaproto is what connections to replicas have in common, whatever protocol they speak. A Session is the
// state machine of one connection: it is given calls to make and bytes that came, and gives bytes to write and events
// that tell what came of each call. It has no socket, no clock and no goroutine. The packages below this one implement
// it, one for each Protocol.
package replicaproto

// Protocol names a protocol, as the configuration does.
type Protocol string

// The protocols.
const (
	Frames Protocol = "frames" // docs/sockets.md
	HTTP2  Protocol = "http2"  // docs/http2.md
)

// Traits are the properties of a protocol that a choice of connections may rest on.
type Traits struct {
	// Multiplexed says that many attempts share a few connections: a reply names its attempt, and each attempt ends
	// by itself.
	Multiplexed bool
	// Pings says that a replica answers pings whatever else it is doing.
	Pings bool
	// LimitsStreams says that a replica may state how many attempts it takes at a time on a connection, and that an
	// abandoned attempt frees its place.
	LimitsStreams bool
	// AnnouncesReady says that a replica states when calls may go (Ready); else they may as soon as it is connected.
	AnnouncesReady bool
	// AnnouncesClose says that a connection ends with a message to the replica.
	AnnouncesClose bool
	// RepliesToInput says that what comes may need an answer at once, or make room for output.
	RepliesToInput bool
}

// TraitsOf gives a protocol's traits.
func TraitsOf(protocol Protocol) Traits {
	if protocol == HTTP2 {
		return Traits{
			Multiplexed:    true,
			Pings:          true,
			LimitsStreams:  true,
			AnnouncesReady: true,
			AnnouncesClose: true,
			RepliesToInput: true,
		}
	}
	return Traits{}
}
