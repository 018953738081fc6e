package fake

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
)

// DiscoveryAgent stands in for discovery where a test chooses the instant of each answer, and whether there is one.
type DiscoveryAgent struct {
	Listener net.Listener
	Calls    chan DiscoveryCall // as they come, up to a hundred; the rest stay without an answer
}

// DiscoveryCall is one call that waits for its answer.
type DiscoveryCall struct {
	Path string // with its query
	Conn net.Conn
}

// NewDiscoveryAgent starts one on a port of its own.
func NewDiscoveryAgent() (*DiscoveryAgent, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &DiscoveryAgent{l, make(chan DiscoveryCall, 100)}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go a.serve(conn)
		}
	}()
	return a, nil
}

func (a *DiscoveryAgent) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		select {
		case a.Calls <- DiscoveryCall{r.URL.RequestURI(), conn}:
		default:
		}
	}
}

// Respond answers a call with a list, as Listing writes it.
func (c DiscoveryCall) Respond(list string) {
	fmt.Fprintf(c.Conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(list), list)
}
