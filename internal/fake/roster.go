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

// Discovery stands in for discovery.
type Discovery struct {
	Listener net.Listener
	Server   *http.Server

	Mu       sync.Mutex // guards what follows
	Revision int
	Replicas []*Replica
	news     chan struct{}
	watches  int
}

// NewDiscovery starts one at an address; Server.Close ends it.
func NewDiscovery(at string, replicas ...*Replica) (*Discovery, error) {
	l, err := net.Listen("tcp", at)
	if err != nil {
		return nil, err
	}
	r := &Discovery{Revision: 5, Replicas: replicas, news: make(chan struct{}), Listener: l}
	r.Server = &http.Server{Handler: http.HandlerFunc(r.serve)}
	go r.Server.Serve(l)
	return r, nil
}

func (r *Discovery) serve(w http.ResponseWriter, ask *http.Request) {
	r.Mu.Lock()
	news, rev := r.news, r.Revision
	r.Mu.Unlock()
	from, err := strconv.Atoi(ask.URL.Query().Get("from"))
	if err == nil && from >= rev {
		r.Mu.Lock()
		r.watches++
		r.Mu.Unlock()
		hold, _ := strconv.Atoi(ask.URL.Query().Get("hold_ms"))
		select {
		case <-news:
		case <-time.After(time.Duration(hold) * time.Millisecond):
		case <-ask.Context().Done():
			return
		}
	}
	r.Mu.Lock()
	defer r.Mu.Unlock()
	var told []*Replica
	for _, s := range r.Replicas {
		if err != nil || s.changedAt > from {
			told = append(told, s)
		}
	}
	io.WriteString(w, EndpointList(r.Revision, err != nil, told))
}

// EndpointList writes a list as discovery tells it.
func EndpointList(rev int, all bool, replicas []*Replica) string {
	var targets []string
	for _, s := range replicas {
		targets = append(targets, fmt.Sprintf(`{"uid":%q,"endpoint":%q,"az":"west","model":%q,"pod_group":%d,`+
			`"state":%q,"capacity_hint":1.0,"boot_ms":%d}`, s.UID, s.Listener.Addr(), s.Model, s.Cell, s.State, s.BootMS))
	}
	return fmt.Sprintf(`{"rev":%d,"all":%t,"targets":[%s]}`, rev, all, strings.Join(targets, ","))
}

// SetState tells all who watch of a replica's new state.
func (r *Discovery) SetState(s *Replica, state string) {
	r.Mu.Lock()
	defer r.Mu.Unlock()
	r.Revision++
	s.State, s.changedAt = state, r.Revision
	close(r.news)
	r.news = make(chan struct{})
}

// Watches tells how many watches were held so far.
func (r *Discovery) Watches() int {
	r.Mu.Lock()
	defer r.Mu.Unlock()
	return r.watches
}

// FreePort is an address of a datagram network on loopback that nobody has just now; empty if there is none.
func FreePort(network string) string {
	s, err := net.ListenPacket(network, "127.0.0.1:0")
	if err != nil {
		return ""
	}
	defer s.Close()
	return s.LocalAddr().String()
}
