package fake

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
)

const maxPendingCalls = 100 // of a DiscoveryAgent; calls beyond that are dropped without an answer

// DiscoveryAgent is a fake discovery agent for tests that decide themselves when to answer each call, and whether to.
type DiscoveryAgent struct {
	Listener net.Listener
	Calls    chan DiscoveryCall // in order of arrival
}

// DiscoveryCall is a call that waits for its answer.
type DiscoveryCall struct {
	Path string // including the query string
	Conn net.Conn
}

// NewDiscoveryAgent starts an agent on a free port. The caller stops it by closing its listener.
func NewDiscoveryAgent() (*DiscoveryAgent, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	agent := &DiscoveryAgent{Listener: listener, Calls: make(chan DiscoveryCall, maxPendingCalls)}
	go agent.accept()
	return agent, nil
}

func (agent *DiscoveryAgent) accept() {
	for {
		conn, err := agent.Listener.Accept()
		if err != nil {
			return
		}
		go agent.serve(conn)
	}
}

func (agent *DiscoveryAgent) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		select {
		case agent.Calls <- DiscoveryCall{Path: request.URL.RequestURI(), Conn: conn}:
		default:
		}
	}
}

// Respond answers a call with an endpoint list in the format of EndpointList.
func (call DiscoveryCall) Respond(list string) {
	fmt.Fprintf(call.Conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(list), list)
}
