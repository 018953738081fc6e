package main

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// lateListener is a listener whose accept queue holds a single connection. While that place is taken, a further
// connection comes up late: the system drops its first packet, and its client's system sends that again after 1 s.
type lateListener struct {
	*net.TCPListener

	mu     sync.Mutex
	paused chan struct{} // not nil: connections are accepted once it is closed
	filler net.Conn      // takes the place in the queue meanwhile
}

func listenLate() (*lateListener, error) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	late := &lateListener{TCPListener: listener.(*net.TCPListener)}
	raw, err := late.SyscallConn()
	if err != nil {
		return nil, err
	}
	var failed error
	if err := raw.Control(func(descriptor uintptr) { failed = syscall.Listen(int(descriptor), 0) }); err != nil {
		return nil, err
	}
	return late, failed
}

// pauseFor has connections that are opened from now on, for less than a second, come up late.
func (late *lateListener) pauseFor(span time.Duration) error {
	late.mu.Lock()
	defer late.mu.Unlock()
	if late.paused != nil {
		return nil
	}
	paused := make(chan struct{})
	late.paused = paused
	late.SetDeadline(time.Now()) // interrupts an Accept that waits
	time.Sleep(20 * time.Millisecond)
	filler, err := net.Dial("tcp", late.Addr().String())
	if err != nil {
		return err
	}
	late.filler = filler
	time.AfterFunc(span, func() {
		late.mu.Lock()
		defer late.mu.Unlock()
		late.SetDeadline(time.Time{})
		late.paused = nil
		filler.Close()
		close(paused)
	})
	return nil
}

// Accept waits for a connection and, during a pause, for the end of that.
func (late *lateListener) Accept() (net.Conn, error) {
	for {
		late.mu.Lock()
		paused := late.paused
		late.mu.Unlock()
		if paused != nil {
			<-paused
		}
		conn, err := late.TCPListener.Accept()
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return conn, err
		}
	}
}
