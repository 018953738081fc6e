package fake

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const firstRevision = 5 // of a Discovery's endpoint list

// Discovery is a fake discovery agent that lists replicas. It answers polls at once, and watches as soon as the list
// has changed.
type Discovery struct {
	Listener net.Listener
	Server   *http.Server

	Mu       sync.Mutex // guards the fields below
	Revision int
	Replicas []*Replica
	changed  chan struct{} // closed and replaced at each change
	watches  int           // watches that had to wait for a change
}

// NewDiscovery starts a discovery at an address. The caller stops it with Server.Close.
func NewDiscovery(address string, replicas ...*Replica) (*Discovery, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	discovery := &Discovery{
		Listener: listener,
		Revision: firstRevision,
		Replicas: replicas,
		changed:  make(chan struct{}),
	}
	discovery.Server = &http.Server{Handler: http.HandlerFunc(discovery.serve)}
	go discovery.Server.Serve(listener) // the error is always that the server was closed
	return discovery, nil
}

// serve answers a poll at once, and a watch when the list has changed or the watch's time is over.
func (discovery *Discovery) serve(response http.ResponseWriter, request *http.Request) {
	from, err := strconv.Atoi(request.URL.Query().Get("from"))
	isPoll := err != nil
	if !isPoll && !discovery.awaitChange(request, from) {
		return
	}
	discovery.Mu.Lock()
	defer discovery.Mu.Unlock()
	var listed []*Replica
	for _, replica := range discovery.Replicas {
		if isPoll || replica.changedAt > from {
			listed = append(listed, replica)
		}
	}
	_, _ = io.WriteString(response, EndpointList(discovery.Revision, isPoll, listed))
}

// awaitChange waits until there is a revision later than from, or the watch's time is over. It returns false if the
// client has disconnected.
func (discovery *Discovery) awaitChange(request *http.Request, from int) bool {
	discovery.Mu.Lock()
	changed := discovery.changed
	upToDate := from >= discovery.Revision
	if upToDate {
		discovery.watches++
	}
	discovery.Mu.Unlock()
	if !upToDate {
		return true
	}
	holdMS, _ := strconv.Atoi(request.URL.Query().Get("hold_ms"))
	select {
	case <-changed:
	case <-time.After(time.Duration(holdMS) * time.Millisecond):
	case <-request.Context().Done():
		return false
	}
	return true
}

// EndpointList formats an endpoint list as discovery sends it. Complete marks a list that contains every replica.
func EndpointList(revision int, complete bool, replicas []*Replica) string {
	var targets []string
	for _, replica := range replicas {
		targets = append(targets, fmt.Sprintf(`{"uid":%q,"endpoint":%q,"az":"west","model":%q,"pod_group":%d,`+
			`"state":%q,"capacity_hint":1.0,"boot_ms":%d}`,
			replica.UID, replica.Listener.Addr(), replica.Model, replica.Cell, replica.State, replica.BootMS))
	}
	return fmt.Sprintf(`{"rev":%d,"all":%t,"targets":[%s]}`, revision, complete, strings.Join(targets, ","))
}

// SetState changes a replica's state in a new revision and answers all watches.
func (discovery *Discovery) SetState(replica *Replica, state string) {
	discovery.Mu.Lock()
	defer discovery.Mu.Unlock()
	discovery.Revision++
	replica.State = state
	replica.changedAt = discovery.Revision
	close(discovery.changed)
	discovery.changed = make(chan struct{})
}

// Watches returns the number of watches so far that had to wait for a change.
func (discovery *Discovery) Watches() int {
	discovery.Mu.Lock()
	defer discovery.Mu.Unlock()
	return discovery.watches
}

// FreePort returns a loopback address with a port that is currently unused on a datagram network, or "" if there is
// none.
func FreePort(network string) string {
	conn, err := net.ListenPacket(network, "127.0.0.1:0")
	if err != nil {
		return ""
	}
	defer conn.Close()
	return conn.LocalAddr().String()
}
