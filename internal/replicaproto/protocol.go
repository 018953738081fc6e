// Package replicaproto defines what connections to replicas have in common, whatever protocol they use. A Session is
// the state machine of one connection: its input is the calls to make and the bytes received, its output the bytes to
// write and the events that report what became of each call. It has no socket, clock or goroutine. The subpackages
// implement it, one for each Protocol.
package replicaproto

// Protocol is the name of a protocol in the configuration.
type Protocol string

// The protocols.
const (
	Frames Protocol = "frames" // docs/sockets.md
	HTTP2  Protocol = "http2"  // docs/http2.md
)

// Traits are the properties of a protocol on which the use of its connections depends.
type Traits struct {
	// Multiplexed: many attempts share a few connections and end independently of each other.
	Multiplexed bool
	// RepliesNameAttempts: a reply identifies its attempt; otherwise it identifies its subquery.
	RepliesNameAttempts bool
	// Pings: a replica answers pings even while it is busy with calls.
	Pings bool
	// LimitsStreams: a replica may limit the number of concurrent attempts on a connection, and an abandoned attempt no
	// longer counts toward the limit.
	LimitsStreams bool
	// AnnouncesReady: calls may be written only after the replica's Ready; otherwise as soon as the connection is up.
	AnnouncesReady bool
	// RepliesToInput: received bytes may require an immediate response or unblock pending output.
	RepliesToInput bool
}

// TraitsOf returns the traits of a protocol.
func TraitsOf(protocol Protocol) Traits {
	if protocol == HTTP2 {
		return Traits{
			Multiplexed:         true,
			RepliesNameAttempts: true,
			Pings:               true,
			LimitsStreams:       true,
			AnnouncesReady:      true,
			RepliesToInput:      true,
		}
	}
	return Traits{}
}
