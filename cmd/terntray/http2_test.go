package main

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"terntray/config"
	"terntray/internal/fake"
)

const allHTTP2 = `{"replicas":[{"model":"h2","dialect":"http2"}],"http2":{"streams":100}}`

// boxes are stand-ins that speak HTTP/2.
func newBox(t *testing.T, uid string, cell int, act func(*fake.Replica, fake.Call)) *fake.Replica {
	s := newStandin(t, uid, cell, act)
	s.Model = "h2"
	return s
}

// installed starts the program with an installation file.
func installed(t *testing.T, settings, file string, sockets int, replicas ...*fake.Replica) (*program, *fake.Discovery) {
	r := newRoster(t, "127.0.0.1:0", replicas...)
	name := filepath.Join(t.TempDir(), "installation.json")
	if err := os.WriteFile(name, []byte(file), 0o600); err != nil {
		t.Fatal(err)
	}
	p := start(t, configure(t, r.Listener.Addr().String(), sockets, settings, replicas...), "-installation", name)
	until(t, "a watch stands", func() bool { return r.Watches() > 0 })
	return p, r
}

// wide lets a query have many parts out.
var wide = strings.Replace(strings.Replace(settings, `"ranges":24`, `"ranges":100`, 1), `"maxOpen":40`, `"maxOpen":4000`, 1)

func shards(n int) (all []int) {
	for s := range n {
		all = append(all, s)
	}
	return all
}

// A box that ends abruptly, with no notice or between GOAWAY and the end, may have run what was out: single-use parts do
// not go again, replayable ones do.
func TestBoxThatEndsAbruptly(t *testing.T) {
	for name, ends := range map[string]func(*fake.Replica){
		"no notice": func(s *fake.Replica) { s.CloseConnections(true) },
		"goaway":    func(s *fake.Replica) { s.GoAway(true, true) },
	} {
		a := newBox(t, "s-a", 0, silent)
		p, _ := installed(t, settings, allHTTP2, 1024, a)
		claim, look := p.connect(), p.connect()
		claim.send(query("claim", "q1", 5, 3))
		look.send(query("look", "q2", 5, 4))
		until(t, "both are out", func() bool { return a.HasReceived("q1") && a.HasReceived("q2") })
		a.SetBehavior(fulfil)
		ends(a)
		look.expect(map[int]string{4: value(a, 4)})
		if got := claim.receive(); got.status != http.StatusInternalServerError {
			t.Errorf("%s: single-use answered %d", name, got.status)
		}
		n := 0
		for _, c := range a.Received() {
			if strings.HasPrefix(c.ID, "q1.") {
				n++
			}
		}
		if n != 1 {
			t.Errorf("%s: the single-use part came %d times", name, n)
		}
	}
}

// What GOAWAY or a refused stream proves never ran goes again, single-use as it is, and is answered.
func TestSingleUsePartsGoAgainOnEvidence(t *testing.T) {
	var first atomic.Bool
	a := newBox(t, "s-a", 0, func(s *fake.Replica, c fake.Call) {
		if first.CompareAndSwap(false, true) {
			fake.Reject(s, c)
			return
		}
		fulfil(s, c)
	})
	p, _ := installed(t, settings, allHTTP2, 1024, a)
	c := p.connect()
	c.send(query("claim", "q1", 5, 3))
	c.expect(map[int]string{3: value(a, 3)})
	a.Mu.Lock()
	a.QueueTime = func() time.Duration { return time.Hour }
	a.Mu.Unlock()
	c.send(query("claim", "q2", 5, 5))
	until(t, "it waits in the box", func() bool { return a.MaxStreams() > 0 && p.counters()["legs"] == 3 })
	time.Sleep(20 * time.Millisecond)
	a.Mu.Lock()
	a.QueueTime = nil
	a.Mu.Unlock()
	a.GoAway(true, false)
	c.expect(map[int]string{5: value(a, 5)})
	if n := p.counters(); n["legs_turned_away"] != 2 || n["goes_away"] == 0 {
		t.Errorf("counters %v", n)
	}
}

// hinted makes a request whose parts are said to be little work.
func hinted(id string, shards []int) string {
	var segments []string
	for _, s := range shards {
		segments = append(segments, fmt.Sprintf(`{"segment":%d,"boost":%.6f,"work":1000}`, s, 1/float64(len(shards))))
	}
	body := fmt.Sprintf(`{"segments":[%s],"text":"x"}`, strings.Join(segments, ","))
	return fmt.Sprintf("POST /look HTTP/1.1\r\nHost: b\r\nReq-Id: %s\r\nReq-Deadline: 20\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// A limit lowered from 100 to 3 and to 0 under as many parts out as the module sends, then raised: none is refused, none
// lost, and no more than the limit were begun after it.
func TestLimitLoweredInMidBurst(t *testing.T) {
	a := newBox(t, "s-a", 0, fulfil)
	a.SetStreamLimit(100)
	p, _ := installed(t, wide, allHTTP2, 1024, a)
	c := p.connect()
	for n := range 40 { // the cap grows with each reply
		c.send(hinted(fmt.Sprint("w", n), []int{n}))
		c.receive()
	}
	a.SetBehavior(silent)
	c.send(hinted("q1", shards(60)))
	until(t, "many are out", func() bool { return len(a.Received()) >= 40+25 })
	a.SetStreamLimit(3)
	a.SetBehavior(fake.After(time.Millisecond, fulfil))
	for _, part := range a.Received()[40:] {
		fulfil(a, part)
	}
	time.Sleep(50 * time.Millisecond)
	a.SetStreamLimit(0)
	time.Sleep(100 * time.Millisecond)
	a.SetStreamLimit(100)
	if got := c.receive(); got.status != http.StatusOK || len(got.Matches) != 60 {
		t.Errorf("answer %d with %d parts", got.status, len(got.Matches))
	}
	if n := p.counters(); n["legs_turned_away"]+n["legs_unreachable"]+n["legs_reset"] > 0 {
		t.Errorf("counters %v", n)
	}
}

// Parts that wait for the box's limit when discovery tells of its drain never leave.
func TestDrainToldWhileTheLimitHoldsPartsBack(t *testing.T) {
	a := newBox(t, "s-a", 0, silent)
	a.SetStreamLimit(2)
	p, r := installed(t, wide, allHTTP2, 1024, a)
	c := p.connect()
	c.send(query("look", "q1", 2, shards(8)...))
	until(t, "two are out", func() bool { return len(a.Received()) == 2 })
	r.SetState(a, "draining")
	until(t, "the drain is told", func() bool { return p.counters()["legs_turned_away"] > 0 })
	for _, part := range a.Received() {
		fulfil(a, part)
	}
	c.receive()
	if got := len(a.Received()); got != 2 || a.MaxStreams() > 2 {
		t.Errorf("%d parts came, %d at a time", got, a.MaxStreams())
	}
}

// One client's large texts use up the connection's window; another's small parts are not starved once it opens, by
// however little.
func TestLargeTextsDoNotStarveSmallParts(t *testing.T) {
	a := newBox(t, "s-a", 0, fulfil)
	p, _ := installed(t, wide, allHTTP2, 1024, a)
	large, small := p.connect(), p.connect()
	large.send(query("look", "q0", 20, 0))
	large.expect(map[int]string{0: value(a, 0)})
	a.WithholdCredit(true)
	text := strings.Repeat("x", 60<<10)
	body := fmt.Sprintf(`{"segments":[{"segment":1,"boost":0.5},{"segment":2,"boost":0.5}],"text":%q}`, text)
	large.send(fmt.Sprintf("POST /look HTTP/1.1\r\nHost: b\r\nReq-Id: q1\r\nReq-Deadline: 20\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
	until(t, "the large ones are begun", func() bool { return a.MaxStreams() >= 2 || len(a.Received()) >= 2 })
	began := time.Now()
	small.send(query("look", "q2", 20, 5))
	time.Sleep(50 * time.Millisecond)
	a.WithholdCredit(false)
	a.GrantCredit(20 << 10) // less than what the large ones still want
	small.expect(map[int]string{5: value(a, 5)})
	if took := time.Since(began); took > time.Second {
		t.Errorf("the small part took %v", took)
	}
	a.GrantCredit(1 << 20)
	if got := large.receive(); got.status != http.StatusOK {
		t.Errorf("the large ones: %d", got.status)
	}
}

// A silent connection is found by a ping within the connect time-out, and its replayable attempt goes on another; a box that
// is slow answers the ping and keeps its attempt.
func TestPingTellsSilenceFromSlowness(t *testing.T) {
	a := newBox(t, "s-a", 0, silent)
	quick := strings.Replace(settings, `"connectTimeout":1000000`, `"connectTimeout":200000`, 1)
	p, _ := installed(t, quick, allHTTP2, 1024, a)
	c := p.connect()
	c.send(query("look", "q1", 20, 3))
	until(t, "it is out", func() bool { return a.HasReceived("q1") })
	time.Sleep(300 * time.Millisecond)
	if n := p.counters(); n["silent"]+n["dropped"] > 0 {
		t.Errorf("a slow box passes for a silent connection: %v", n)
	}
	a.SetBehavior(fulfil)
	a.IgnorePings(true)
	began := time.Now()
	c.expect(map[int]string{3: value(a, 3)})
	if took := time.Since(began); took > time.Second || p.counters()["silent"] != 1 {
		t.Errorf("after %v, counters %v", took, p.counters())
	}
}

// A box comes back with the other dialect at the same address.
func TestRestartWithAnotherDialect(t *testing.T) {
	a := newBox(t, "s-a", 0, fulfil)
	p, r := installed(t, settings, allHTTP2, 1024, a)
	c := p.connect()
	for n, model := range []string{"h2", "frames", "h2"} {
		r.Mu.Lock()
		a.Model, a.BootMS = model, time.Now().UnixMilli()
		r.Mu.Unlock()
		a.CloseConnections(true)
		r.SetState(a, "ready")
		until(t, "the list is followed", func() bool { return strings.Count(p.logged(), "event=endpoint_list ") > n })
		time.Sleep(20 * time.Millisecond)
		c.send(query("claim", fmt.Sprint("q", n), 10, 3))
		c.expect(map[int]string{3: value(a, 3)})
	}
}

// HTTP/2 needs fewer descriptors than frames, with the 256 of the smallest machine.
func TestFewerDescriptorsThanFrames(t *testing.T) {
	held := map[string]int{}
	for _, model := range []string{"frames", "h2"} {
		var all []*fake.Replica
		for n := range 8 {
			s := newStandin(t, fmt.Sprint("s-", n), n, fake.After(30*time.Millisecond, fulfil))
			s.Model = model
			all = append(all, s)
		}
		p, _ := installed(t, strings.Replace(wide, `"cells":1`, `"cells":8`, 1), allHTTP2, 256, all...)
		var clients []*client
		for n := range 12 {
			c := p.connect()
			c.send(query("look", fmt.Sprint("q", n), 20, shards(60)...))
			clients = append(clients, c)
		}
		for _, c := range clients {
			c.receive()
		}
		fds, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
		held[model] = len(fds)
	}
	if held["h2"] >= held["frames"] {
		t.Errorf("descriptors %v", held)
	}
}

// handedOver is a listener of connections whose TLS handshake is done. Its test closes ended.
type handedOver struct {
	conns chan net.Conn
	ended chan struct{}
}

func (h handedOver) Accept() (net.Conn, error) {
	select {
	case conn := <-h.conns:
		return conn, nil
	case <-h.ended:
		return nil, net.ErrClosed
	}
}

func (h handedOver) Close() error   { return nil }
func (h handedOver) Addr() net.Addr { return &net.TCPAddr{} }

// The library's own server, written by others, serves parts by the mapping, over TLS that asks for a certificate; a box
// that does not take h2 is told of; a bad new file leaves the old in force.
func TestLibrarysServerOverTLS(t *testing.T) {
	folder := t.TempDir()
	if err := config.MakeCertificates(folder, []string{"127.0.0.1"}, time.Hour); err != nil {
		t.Fatal(err)
	}
	in := func(name string) string { return filepath.Join(folder, name) }
	pair, err := tls.LoadX509KeyPair(in("box.pem"), in("box.key"))
	if err != nil {
		t.Fatal(err)
	}
	ca, _ := os.ReadFile(in("ca.pem"))
	roots := x509.NewCertPool()
	roots.AppendCertsFromPEM(ca)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	offered := atomic.Pointer[[]string]{}
	offered.Store(&[]string{"h2"})
	box := &tls.Config{Certificates: []tls.Certificate{pair}, ClientCAs: roots, ClientAuth: tls.RequireAndVerifyClientCert}
	served := handedOver{make(chan net.Conn), make(chan struct{})}
	library := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		text, _ := io.ReadAll(r.Body)
		w.Header().Set("part-end", "ok")
		fmt.Fprintf(w, "%s %s %s", r.URL.Path, r.Header.Get("part-shard"), text)
	})}
	go library.Serve(served)
	defer library.Close() // waits until Accept has returned
	defer close(served.ended)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				with := box.Clone()
				with.NextProtos = *offered.Load()
				server := tls.Server(conn, with)
				if server.Handshake() != nil || len(with.NextProtos) == 0 {
					conn.Close()
					return
				}
				select {
				case served.conns <- server:
				case <-served.ended:
					conn.Close()
				}
			}()
		}
	}()
	a := newStandin(t, "s-a", 0, silent)
	a.Listener.Close()
	a.Listener, a.Model = l, "h2"
	p, _ := installed(t, settings, fmt.Sprintf(`{"replicas":[{"model":"h2","dialect":"http2","tls":"boxes"}],
"tls":{"boxes":{"ca":%q,"cert":%q,"key":%q}}}`, in("ca.pem"), in("client.pem"), in("client.key")), 1024, a)
	c := p.connect()
	c.send(query("claim", "q1", 10, 3))
	c.expect(map[int]string{3: "/part 3 of q1"})
	if n := p.counters(); n["certificates_running_out"] != 1 {
		t.Errorf("counters %v", n)
	}
	good, _ := os.ReadFile(in("client.pem"))
	os.WriteFile(in("client.pem"), []byte("half a fi"), 0o600)
	p.cmd.Process.Signal(syscall.SIGHUP)
	until(t, "the bad file is told of", func() bool { return strings.Contains(p.logged(), "event=tls_reload_failed") })
	c.send(query("claim", "q2", 10, 4))
	c.expect(map[int]string{4: "/part 4 of q2"})
	os.WriteFile(in("client.pem"), good, 0o600)
	p.cmd.Process.Signal(syscall.SIGHUP)
	until(t, "the good file is taken", func() bool { return strings.Contains(p.logged(), `event=tls_reloaded entries=["boxes"]`) })
	offered.Store(&[]string{})
	p2, _ := installed(t, settings, fmt.Sprintf(`{"replicas":[{"model":"h2","dialect":"http2","tls":"boxes"}],
"tls":{"boxes":{"ca":%q,"cert":%q,"key":%q}}}`, in("ca.pem"), in("client.pem"), in("client.key")), 1024, a)
	c = p2.connect()
	c.send(query("claim", "q3", 1, 3))
	if c.receive(); !strings.Contains(p2.logged(), "by ALPN, not h2") || p2.counters()["tls_failed"] == 0 {
		t.Errorf("a box that does not take h2: %v", p2.counters())
	}
}
