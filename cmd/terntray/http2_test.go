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

// newHTTP2Replica starts a fake replica that uses HTTP/2.
func newHTTP2Replica(t *testing.T, uid string, cell int, act func(*fake.Replica, fake.Call)) *fake.Replica {
	replica := newReplica(t, uid, cell, act)
	replica.Model = "h2"
	return replica
}

// startDeploymentWith starts the program with an installation file.
func startDeploymentWith(t *testing.T, settings, installation string, sockets int, replicas ...*fake.Replica,
) (*process, *fake.Discovery) {
	discovery := newDiscovery(t, "127.0.0.1:0", replicas...)
	name := filepath.Join(t.TempDir(), "installation.json")
	if err := os.WriteFile(name, []byte(installation), 0o600); err != nil {
		t.Fatal(err)
	}
	program := start(t, configure(t, discovery.Listener.Addr().String(), sockets, settings, replicas...),
		"-installation", name)
	waitFor(t, "a watch is open", func() bool { return discovery.Watches() > 0 })
	return program, discovery
}

// manySubqueries are settings that allow queries with many subqueries.
var manySubqueries = strings.Replace(
	strings.Replace(settings, `"ranges":24`, `"ranges":100`, 1), `"maxOpen":40`, `"maxOpen":4000`, 1)

func firstShards(n int) (all []int) {
	for shard := range n {
		all = append(all, shard)
	}
	return all
}

// A replica that disconnects abruptly, without GOAWAY or right after it, may have run its open subqueries: idempotent
// ones are retried, non-idempotent ones are not.
func TestReplicaDisconnectsAbruptly(t *testing.T) {
	for name, disconnect := range map[string]func(*fake.Replica){
		"no notice": func(replica *fake.Replica) { replica.CloseConnections(true) },
		"GOAWAY":    func(replica *fake.Replica) { replica.GoAway(true, true) },
	} {
		replica := newHTTP2Replica(t, "s-a", 0, silent)
		program, _ := startDeploymentWith(t, settings, allHTTP2, 1024, replica)
		claim, look := program.connect(), program.connect()
		claim.send(query("claim", "q1", 5, 3))
		look.send(query("look", "q2", 5, 4))
		waitFor(t, "both subqueries arrive", func() bool {
			return replica.HasReceived("q1") && replica.HasReceived("q2")
		})
		replica.SetBehavior(succeed)
		disconnect(replica)
		look.expect(map[int]string{4: value(replica, 4)})
		if got := claim.receive(); got.status != http.StatusInternalServerError {
			t.Errorf("%s: the non-idempotent query got status %d", name, got.status)
		}
		n := 0
		for _, c := range replica.Received() {
			if strings.HasPrefix(c.ID, "q1.") {
				n++
			}
		}
		if n != 1 {
			t.Errorf("%s: the non-idempotent subquery arrived %d times", name, n)
		}
	}
}

// Non-idempotent subqueries that provably never ran, by a refused stream or GOAWAY, are retried and answered.
func TestNonIdempotentSubqueriesAreRetriedOnEvidenceOnly(t *testing.T) {
	var first atomic.Bool
	replica := newHTTP2Replica(t, "s-a", 0, func(replica *fake.Replica, call fake.Call) {
		if first.CompareAndSwap(false, true) {
			fake.Reject(replica, call)
			return
		}
		succeed(replica, call)
	})
	program, _ := startDeploymentWith(t, settings, allHTTP2, 1024, replica)
	client := program.connect()
	client.send(query("claim", "q1", 5, 3))
	client.expect(map[int]string{3: value(replica, 3)})
	replica.Mu.Lock()
	replica.QueueTime = func() time.Duration { return time.Hour }
	replica.Mu.Unlock()
	client.send(query("claim", "q2", 5, 5))
	waitFor(t, "the subquery is queued in the replica", func() bool {
		return replica.MaxStreams() > 0 && program.counters()["legs"] == 3
	})
	time.Sleep(20 * time.Millisecond)
	replica.Mu.Lock()
	replica.QueueTime = nil
	replica.Mu.Unlock()
	replica.GoAway(true, false)
	client.expect(map[int]string{5: value(replica, 5)})
	if counters := program.counters(); counters["legs_turned_away"] != 2 || counters["goes_away"] == 0 {
		t.Errorf("counters %v", counters)
	}
}

// cheapQuery returns a request whose hints state little work.
func cheapQuery(id string, shards []int) string {
	var segments []string
	for _, shard := range shards {
		segments = append(segments,
			fmt.Sprintf(`{"segment":%d,"boost":%.6f,"work":1000}`, shard, 1/float64(len(shards))))
	}
	body := fmt.Sprintf(`{"segments":[%s],"text":"x"}`, strings.Join(segments, ","))
	return fmt.Sprintf(
		"POST /look HTTP/1.1\r\nHost: b\r\nReq-Id: %s\r\nReq-Deadline: 20\r\nContent-Length: %d\r\n\r\n%s",
		id, len(body), body)
}

// A replica lowers its stream limit from 100 to 3 and then 0 while it has as many subqueries as the co-ordinator sends,
// then raises it. No attempt is refused or lost, and the query is answered completely.
func TestStreamLimitLoweredDuringBurst(t *testing.T) {
	replica := newHTTP2Replica(t, "s-a", 0, succeed)
	replica.SetStreamLimit(100)
	program, _ := startDeploymentWith(t, manySubqueries, allHTTP2, 1024, replica)
	client := program.connect()
	for n := range 40 { // the concurrency limit grows with each reply
		client.send(cheapQuery(fmt.Sprint("w", n), []int{n}))
		client.receive()
	}
	replica.SetBehavior(silent)
	client.send(cheapQuery("q1", firstShards(60)))
	waitFor(t, "many subqueries arrive", func() bool { return len(replica.Received()) >= 40+25 })
	replica.SetStreamLimit(3)
	replica.SetBehavior(fake.After(time.Millisecond, succeed))
	for _, call := range replica.Received()[40:] {
		succeed(replica, call)
	}
	time.Sleep(50 * time.Millisecond)
	replica.SetStreamLimit(0)
	time.Sleep(100 * time.Millisecond)
	replica.SetStreamLimit(100)
	if got := client.receive(); got.status != http.StatusOK || len(got.Matches) != 60 {
		t.Errorf("status %d with %d subqueries", got.status, len(got.Matches))
	}
	if counters := program.counters(); counters["legs_turned_away"]+counters["legs_unreachable"]+
		counters["legs_reset"] > 0 {
		t.Errorf("counters %v", counters)
	}
}

// Subqueries that wait for the replica's stream limit when discovery reports its drain are never sent.
func TestDrainWithdrawsSubqueriesWaitingForAStream(t *testing.T) {
	replica := newHTTP2Replica(t, "s-a", 0, silent)
	replica.SetStreamLimit(2)
	program, discovery := startDeploymentWith(t, manySubqueries, allHTTP2, 1024, replica)
	client := program.connect()
	client.send(query("look", "q1", 2, firstShards(8)...))
	waitFor(t, "two subqueries arrive", func() bool { return len(replica.Received()) == 2 })
	discovery.SetState(replica, "draining")
	waitFor(t, "the drain is applied", func() bool { return program.counters()["legs_turned_away"] > 0 })
	for _, call := range replica.Received() {
		succeed(replica, call)
	}
	client.receive()
	if got := len(replica.Received()); got != 2 || replica.MaxStreams() > 2 {
		t.Errorf("%d subqueries arrived, %d at a time", got, replica.MaxStreams())
	}
}

// One client's large texts use up the connection's window. Another client's small subquery is sent as soon as the
// window opens a little.
func TestLargeBodiesDoNotStarveSmallSubqueries(t *testing.T) {
	replica := newHTTP2Replica(t, "s-a", 0, succeed)
	program, _ := startDeploymentWith(t, manySubqueries, allHTTP2, 1024, replica)
	large, small := program.connect(), program.connect()
	large.send(query("look", "q0", 20, 0))
	large.expect(map[int]string{0: value(replica, 0)})
	replica.WithholdCredit(true)
	text := strings.Repeat("x", 60<<10)
	body := fmt.Sprintf(`{"segments":[{"segment":1,"boost":0.5},{"segment":2,"boost":0.5}],"text":%q}`, text)
	large.send(fmt.Sprintf(
		"POST /look HTTP/1.1\r\nHost: b\r\nReq-Id: q1\r\nReq-Deadline: 20\r\nContent-Length: %d\r\n\r\n%s",
		len(body), body))
	waitFor(t, "the large subqueries have started", func() bool {
		return replica.MaxStreams() >= 2 || len(replica.Received()) >= 2
	})
	began := time.Now()
	small.send(query("look", "q2", 20, 5))
	time.Sleep(50 * time.Millisecond)
	replica.WithholdCredit(false)
	replica.GrantCredit(20 << 10) // less than the large subqueries still need
	small.expect(map[int]string{5: value(replica, 5)})
	if took := time.Since(began); took > time.Second {
		t.Errorf("the small subquery took %v", took)
	}
	replica.GrantCredit(1 << 20)
	if got := large.receive(); got.status != http.StatusOK {
		t.Errorf("the large subqueries: status %d", got.status)
	}
}

// A ping detects a silent connection within the connect timeout, and its idempotent attempt is retried on another one.
// A slow replica answers the ping and keeps its attempt.
func TestPingDistinguishesSilentConnectionFromSlowReplica(t *testing.T) {
	replica := newHTTP2Replica(t, "s-a", 0, silent)
	shortTimeout := strings.Replace(settings, `"connectTimeout":1000000`, `"connectTimeout":200000`, 1)
	program, _ := startDeploymentWith(t, shortTimeout, allHTTP2, 1024, replica)
	client := program.connect()
	client.send(query("look", "q1", 20, 3))
	waitFor(t, "the subquery arrives", func() bool { return replica.HasReceived("q1") })
	time.Sleep(300 * time.Millisecond)
	if counters := program.counters(); counters["silent"]+counters["dropped"] > 0 {
		t.Errorf("a slow replica was taken for a silent connection: %v", counters)
	}
	replica.SetBehavior(succeed)
	replica.IgnorePings(true)
	began := time.Now()
	client.expect(map[int]string{3: value(replica, 3)})
	if took := time.Since(began); took > time.Second || program.counters()["silent"] != 1 {
		t.Errorf("after %v, counters %v", took, program.counters())
	}
}

// A replica restarts with the other protocol at the same address.
func TestReplicaRestartsWithAnotherProtocol(t *testing.T) {
	replica := newHTTP2Replica(t, "s-a", 0, succeed)
	program, discovery := startDeploymentWith(t, settings, allHTTP2, 1024, replica)
	client := program.connect()
	for index, model := range []string{"h2", "frames", "h2"} {
		discovery.Mu.Lock()
		replica.Model, replica.BootMS = model, time.Now().UnixMilli()
		discovery.Mu.Unlock()
		replica.CloseConnections(true)
		discovery.SetState(replica, "ready")
		waitFor(t, "the list is applied", func() bool {
			return strings.Count(program.logText(), "event=endpoint_list ") > index
		})
		time.Sleep(20 * time.Millisecond)
		client.send(query("claim", fmt.Sprint("q", index), 10, 3))
		client.expect(map[int]string{3: value(replica, 3)})
	}
}

// HTTP/2 needs fewer descriptors than frames, with the 256 that the smallest machine has.
func TestHTTP2NeedsFewerDescriptorsThanFrames(t *testing.T) {
	held := map[string]int{}
	for _, model := range []string{"frames", "h2"} {
		var all []*fake.Replica
		for n := range 8 {
			replica := newReplica(t, fmt.Sprint("s-", n), n, fake.After(30*time.Millisecond, succeed))
			replica.Model = model
			all = append(all, replica)
		}
		program, _ := startDeploymentWith(t,
			strings.Replace(manySubqueries, `"cells":1`, `"cells":8`, 1), allHTTP2, 256, all...)
		var clients []*clientConn
		for n := range 12 {
			client := program.connect()
			client.send(query("look", fmt.Sprint("q", n), 20, firstShards(60)...))
			clients = append(clients, client)
		}
		for _, c := range clients {
			c.receive()
		}
		fds, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", program.cmd.Process.Pid))
		held[model] = len(fds)
	}
	if held["h2"] >= held["frames"] {
		t.Errorf("descriptors by model: %v", held)
	}
}

// connListener is a listener whose connections have completed their TLS handshake. Closing ended closes it.
type connListener struct {
	conns chan net.Conn
	ended chan struct{}
}

func (h connListener) Accept() (net.Conn, error) {
	select {
	case conn := <-h.conns:
		return conn, nil
	case <-h.ended:
		return nil, net.ErrClosed
	}
}

func (h connListener) Close() error   { return nil }
func (h connListener) Addr() net.Addr { return &net.TCPAddr{} }

// The standard library's server, an independent implementation, serves subqueries over TLS with client certificates. An
// unusable new certificate file leaves the old one in use. A replica that does not negotiate h2 is reported.
func TestTLSWithStandardLibraryServer(t *testing.T) {
	folder := t.TempDir()
	if err := config.MakeCertificates(folder, []string{"127.0.0.1"}, time.Hour); err != nil {
		t.Fatal(err)
	}
	pathOf := func(name string) string { return filepath.Join(folder, name) }
	pair, err := tls.LoadX509KeyPair(pathOf("box.pem"), pathOf("box.key"))
	if err != nil {
		t.Fatal(err)
	}
	ca, _ := os.ReadFile(pathOf("ca.pem"))
	roots := x509.NewCertPool()
	roots.AppendCertsFromPEM(ca)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	offered := atomic.Pointer[[]string]{}
	offered.Store(&[]string{"h2"})
	serverConfig := &tls.Config{
		Certificates: []tls.Certificate{pair}, ClientCAs: roots, ClientAuth: tls.RequireAndVerifyClientCert,
	}
	served := connListener{make(chan net.Conn), make(chan struct{})}
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
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				connConfig := serverConfig.Clone()
				connConfig.NextProtos = *offered.Load()
				server := tls.Server(conn, connConfig)
				if server.Handshake() != nil || len(connConfig.NextProtos) == 0 {
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
	replica := newReplica(t, "s-a", 0, silent)
	replica.Listener.Close()
	replica.Listener, replica.Model = listener, "h2"
	program, _ := startDeploymentWith(t, settings, fmt.Sprintf(
		`{"replicas":[{"model":"h2","dialect":"http2","tls":"boxes"}],
"tls":{"boxes":{"ca":%q,"cert":%q,"key":%q}}}`,
		pathOf("ca.pem"), pathOf("client.pem"), pathOf("client.key")), 1024, replica)
	client := program.connect()
	client.send(query("claim", "q1", 10, 3))
	client.expect(map[int]string{3: "/part 3 of q1"})
	if counters := program.counters(); counters["certificates_running_out"] != 1 {
		t.Errorf("counters %v", counters)
	}
	good, _ := os.ReadFile(pathOf("client.pem"))
	os.WriteFile(pathOf("client.pem"), []byte("half a fi"), 0o600)
	program.cmd.Process.Signal(syscall.SIGHUP)
	waitFor(t, "the bad file is reported", func() bool {
		return strings.Contains(program.logText(), "event=tls_reload_failed")
	})
	client.send(query("claim", "q2", 10, 4))
	client.expect(map[int]string{4: "/part 4 of q2"})
	os.WriteFile(pathOf("client.pem"), good, 0o600)
	program.cmd.Process.Signal(syscall.SIGHUP)
	waitFor(t, "the good file is loaded", func() bool {
		return strings.Contains(program.logText(), `event=tls_reloaded entries=["boxes"]`)
	})
	offered.Store(&[]string{})
	p2, _ := startDeploymentWith(t, settings, fmt.Sprintf(
		`{"replicas":[{"model":"h2","dialect":"http2","tls":"boxes"}],
"tls":{"boxes":{"ca":%q,"cert":%q,"key":%q}}}`,
		pathOf("ca.pem"), pathOf("client.pem"), pathOf("client.key")), 1024, replica)
	client = p2.connect()
	client.send(query("claim", "q3", 1, 3))
	if client.receive(); !strings.Contains(p2.logText(), "by ALPN, not h2") || p2.counters()["tls_failed"] == 0 {
		t.Errorf("a replica that does not negotiate h2: %v", p2.counters())
	}
}
