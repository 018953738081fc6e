package server

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"terntray/internal/conntest"
)

// exchange sends a request on a new connection and returns the response. staysOpen reports whether the response
// keeps the connection open; if so, exchange checks that it serves another request.
func (f fixture) exchange(t *testing.T, request string) (status int, body string, staysOpen bool) {
	t.Helper()
	serverEnd, clientEnd := conntest.Pair(t)
	client := f.newConn(serverEnd)
	go f.serve(client)
	io.WriteString(clientEnd, request)
	reader := bufio.NewReader(clientEnd)
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
			t.Errorf("data after the last response: %q, %v", rest, err)
		}
		return response.StatusCode, string(text), false
	}
	io.WriteString(clientEnd, upRequest)
	if _, err := http.ReadResponse(reader, nil); err != nil {
		t.Errorf("the connection stays open but does not serve: %v", err)
	}
	return response.StatusCode, string(text), true
}

// requestTo returns a request with a method, a path and additional header fields.
func requestTo(method, path, fields string) string {
	return method + " " + path + " HTTP/1.1\r\nHost: b\r\nContent-Length: 2\r\n" + fields + "\r\n{}"
}

// Each kind of request, on a connection of its own, gets its status. Requests that violate the protocol close the
// connection, all others keep it open.
func TestResponseStatuses(t *testing.T) {
	for name, test := range map[string]struct {
		request   string
		status    int
		body      string // prefix
		staysOpen bool
	}{
		"up":                {upRequest, 200, "up\n", true},
		"counters":          {requestTo("GET", "/counters", ""), 200, "counters\n", true},
		"estimates":         {requestTo("GET", "/beliefs", ""), 200, "estimates\n", true},
		"POST to a page":    {requestTo("POST", "/counters", ""), 405, "this is for another method\n", false},
		"GET of a class":    {requestTo("GET", "/look", ""), 405, "this is for another method\n", false},
		"unknown class":     {requestTo("POST", "/other", ""), 404, "no track is called so\n", false},
		"unknown page":      {requestTo("GET", "/", ""), 404, "no track is called so\n", false},
		"not a query":       {requestTo("POST", "/look", ""), 400, "Req-Id is missing", false},
		"not HTTP":          {"what is this\r\n\r\n", 400, "", false},
		"second step":       {requestTo("POST", "/staged", ""), 501, "the protocol has no second step\n", true},
		"keyed with key":    {requestTo("POST", "/keyed", "Idempotency-Key: a\r\n"), 501, "a reference cannot", true},
		"keyed without key": {requestTo("POST", "/keyed", ""), 400, "Req-Id is missing", false},
		"too large":         {"POST /look HTTP/1.1\r\nHost: b\r\nContent-Length: 65537\r\n\r\n", 413, "", false},
		"below a class":     {requestTo("POST", "/staged/x", ""), 501, "the protocol has no second step\n", true},
		"below a page":      {requestTo("GET", "/up/x", ""), 404, "", false},
		"Connection: close": {requestTo("GET", "/up", "Connection: close\r\n"), 200, "up\n", false},
	} {
		f := newFixture()
		f.handler.ready.Store(true)
		f.run(t)
		status, body, staysOpen := f.exchange(t, test.request)
		if status != test.status || !strings.HasPrefix(body, test.body) || staysOpen != test.staysOpen {
			t.Errorf("%s: %d %q, stays open %t", name, status, body, staysOpen)
		}
	}
}

// Until the handler is ready, for example because no endpoint list is known, /up answers 503 so that a load balancer
// sends no clients.
func TestUpAnswers503UntilHandlerIsReady(t *testing.T) {
	f := newFixture()
	status, body, staysOpen := f.exchange(t, upRequest)
	if status != 503 || body != "not ready\n" || !staysOpen {
		t.Errorf("%d %q, stays open %t", status, body, staysOpen)
	}
}

// During load shedding no request is admitted. Requests with a simple head are rejected without being parsed,
// others after parsing. The connection stays open, since the client may retry.
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
		status, body, staysOpen := f.exchange(t, request)
		if status != 503 || body != "busy\n" || !staysOpen {
			t.Errorf("%s: %d %q, stays open %t", name, status, body, staysOpen)
		}
		if len(f.handler.arrivals) > 0 || f.handler.refused > 0 {
			t.Errorf("%s: %d queries arrived, %d refused", name, len(f.handler.arrivals), f.handler.refused)
		}
	}
}

// When few slots are left, idle clients are evicted: those that have never sent a request first, then the longest idle.
// While a new connection may still send its first request, no client with earlier ones is evicted, unless that was waited
// for. A client with an open request is never evicted.
func TestIdleClientsAreEvictedInOrder(t *testing.T) {
	f := newFixture()
	now := f.server.now() + time.Hour
	newClient := func(idle time.Duration, sentRequest, requestOpen bool) *ClientConn {
		serverEnd, _ := conntest.Pair(t)
		client := f.newConn(serverEnd)
		client.sentRequest.Store(sentRequest)
		client.idleSince.Store(int64(now - idle))
		if requestOpen {
			client.idleSince.Store(0)
		}
		return client
	}
	open := newClient(0, true, true)
	longIdle := newClient(2*time.Second, true, false)
	shortIdle := newClient(time.Second, true, false)
	silent := newClient(silentGrace, false, false)
	recent := newClient(silentGrace-1, false, false)
	f.server.conns.active = 3
	for n, step := range []struct {
		hasWaited bool
		want      *ClientConn
	}{{false, silent}, {false, nil}, {true, longIdle}, {true, shortIdle}, {true, recent}, {true, nil}, {false, nil}} {
		selected := f.server.conns.selectIdle(now, step.hasWaited)
		if evicted := f.server.conns.evict(selected); selected != step.want || evicted != (step.want != nil) {
			t.Errorf("eviction %d selected another client", n)
		}
	}
	if open.evicted.Load() {
		t.Error("a client with an open request was evicted")
	}
	if got := f.server.Counts().Evicted; got != 4 || f.server.conns.active != 1 {
		t.Errorf("%d evicted, %d active", got, f.server.conns.active)
	}
}
