package server

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// exchange sends a request on a connection of its own and returns the response; keeps tells whether the
// connection is kept by the response and serves one more request.
func (f fixture) exchange(t *testing.T, request string) (status int, body string, keeps bool) {
	t.Helper()
	near, far := connPair(t)
	client := f.newConn(near)
	go f.serve(client)
	io.WriteString(far, request)
	reader := bufio.NewReader(far)
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	text, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	if response.Close {
		if rest, err := io.ReadAll(reader); len(rest) > 0 || err != nil {
			t.Errorf("behind the last response: %q, %v", rest, err)
		}
		return response.StatusCode, string(text), false
	}
	io.WriteString(far, upRequest)
	if _, err := http.ReadResponse(reader, nil); err != nil {
		t.Errorf("the connection is kept and does not serve: %v", err)
	}
	return response.StatusCode, string(text), true
}

// requestTo is a request with a method, a path and further fields.
func requestTo(method, path, fields string) string {
	return method + " " + path + " HTTP/1.1\r\nHost: b\r\nContent-Length: 2\r\n" + fields + "\r\n{}"
}

// Requests of all kinds come, each on a connection of its own. Each gets its status; what is no request of a
// client that knows the protocol ends the connection, all others keep it.
func TestResponseStatuses(t *testing.T) {
	for name, test := range map[string]struct {
		request string
		status  int
		body    string // its beginning
		keeps   bool
	}{
		"up":             {upRequest, 200, "up\n", true},
		"counters":       {requestTo("GET", "/counters", ""), 200, "counters\n", true},
		"estimates":      {requestTo("GET", "/beliefs", ""), 200, "estimates\n", true},
		"a page posted":  {requestTo("POST", "/counters", ""), 405, "this is for another method\n", false},
		"a class read":   {requestTo("GET", "/look", ""), 405, "this is for another method\n", false},
		"no such class":  {requestTo("POST", "/other", ""), 404, "no track is called so\n", false},
		"no such page":   {requestTo("GET", "/", ""), 404, "no track is called so\n", false},
		"no query":       {requestTo("POST", "/look", ""), 400, "Req-Id is missing", false},
		"no HTTP":        {"what is this\r\n\r\n", 400, "", false},
		"a second step":  {requestTo("POST", "/staged", ""), 501, "the protocol has no second step\n", true},
		"a key":          {requestTo("POST", "/keyed", "Idempotency-Key: a\r\n"), 501, "a reference cannot", true},
		"keyed, no key":  {requestTo("POST", "/keyed", ""), 400, "Req-Id is missing", false},
		"too large":      {"POST /look HTTP/1.1\r\nHost: b\r\nContent-Length: 65537\r\n\r\n", 413, "", false},
		"below a class":  {requestTo("POST", "/staged/x", ""), 501, "the protocol has no second step\n", true},
		"below a page":   {requestTo("GET", "/up/x", ""), 404, "", false},
		"asked to close": {requestTo("GET", "/up", "Connection: close\r\n"), 200, "up\n", false},
	} {
		f := newFixture()
		f.handler.ready.Store(true)
		f.run(t)
		status, body, keeps := f.exchange(t, test.request)
		if status != test.status || !strings.HasPrefix(body, test.body) || keeps != test.keeps {
			t.Errorf("%s: %d %q, keeps the connection %t", name, status, body, keeps)
		}
	}
}

// The endpoint list is not known yet: the process serves nobody, and a load balancer keeps clients away.
func TestNotReadyUntilTheHandlerIs(t *testing.T) {
	f := newFixture()
	status, body, keeps := f.exchange(t, upRequest)
	if status != 503 || body != "not ready\n" || !keeps {
		t.Errorf("%d %q, keeps the connection %t", status, body, keeps)
	}
}

// The core is short and nothing is admitted. Requests are rejected without being parsed where their head is
// simple, and all the same where it is not; the connection is kept, as the client may try again.
func TestRequestsAreRejectedWhileSheddingLoad(t *testing.T) {
	notSimple := strings.Replace(queryRequest("q"), "Host: b", "Host: b\r\nConnection: keep-alive", 1)
	for name, request := range map[string]string{
		"simple":                  queryRequest("q"),
		"simple, but not a query": requestTo("POST", "/look", ""),
		"not simple":              notSimple,
	} {
		f := newFixture()
		f.handler.shedding.Store(true)
		f.run(t)
		status, body, keeps := f.exchange(t, request)
		if status != 503 || body != "busy\n" || !keeps {
			t.Errorf("%s: %d %q, keeps the connection %t", name, status, body, keeps)
		}
		if len(f.handler.arrivals) > 0 || f.handler.refused > 0 {
			t.Errorf("%s: %d queries arrived, %d refused", name, len(f.handler.arrivals), f.handler.refused)
		}
	}
}

// Few slots are left: idle clients go, first those that never sent a request, then the one that is idle for
// longest. One with an open request stays.
func TestIdleClientsAreEvictedInOrder(t *testing.T) {
	f := newFixture()
	now := f.server.now() + time.Hour
	newClient := func(idle time.Duration, sentRequest, requestOpen bool) *ClientConn {
		near, _ := connPair(t)
		client := f.newConn(near)
		client.sentRequest.Store(sentRequest)
		client.idleSince.Store(int64(now - idle))
		if requestOpen {
			client.idleSince.Store(0)
		}
		return client
	}
	open := newClient(0, true, true)
	rested := newClient(2*time.Second, true, false)
	fresh := newClient(time.Second, true, false)
	silent := newClient(200*time.Millisecond, false, false)
	f.server.conns.active = 3
	any := func(*ClientConn) bool { return true }
	for n, want := range []*ClientConn{silent, rested, fresh} {
		if !f.server.conns.evictLongestIdle(now, any) || !want.evicted.Load() {
			t.Errorf("eviction %d takes another", n)
		}
	}
	if f.server.conns.evictLongestIdle(now, any) || open.evicted.Load() {
		t.Error("a client with an open request is evicted")
	}
	if got := f.server.Counts().Evicted; got != 3 || f.server.conns.active != 1 {
		t.Errorf("%d evicted, %d active", got, f.server.conns.active)
	}
}
