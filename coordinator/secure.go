package coordinator

import (
	"context"
	"crypto/tls"
	"fmt"
	"maps"
	"net"
	"slices"
	"time"

	"terntray/config"
)

const (
	runsOutSoon = 14 * 24 * time.Hour // before a certificate's end that this is said
	lookAtCerts = time.Hour           // between looks at it
)

// tlsFailure is a connection that came up, but not its TLS.
type tlsFailure struct{ cause error }

func (f *tlsFailure) Error() string { return "TLS: " + f.cause.Error() }
func (f *tlsFailure) Unwrap() error { return f.cause }

// secured has TLS come up on a connection until a time. The far side must take h2 (RFC 9113, 3.2): nothing of a call goes
// before that is known.
func secured(ctx context.Context, conn net.Conn, with *tls.Config, addr string, until time.Time) (net.Conn, error) {
	with = with.Clone()
	if with.ServerName == "" {
		host, _, err := net.SplitHostPort(addr)
		if err != nil {
			return nil, &tlsFailure{err}
		}
		with.ServerName = host
	}
	ctx, stop := context.WithDeadline(ctx, until)
	defer stop()
	t := tls.Client(conn, with)
	if err := t.HandshakeContext(ctx); err != nil {
		return nil, &tlsFailure{err}
	}
	if got := t.ConnectionState().NegotiatedProtocol; got != "h2" {
		return nil, &tlsFailure{fmt.Errorf("the box took %q by ALPN, not h2", got)}
	}
	return t, nil
}

// rereadTLS reads what TLS needs anew. New connections go by it; what stands goes on. What cannot be used leaves the old
// in force. Guards against: certificates that are replaced while they are read. Could hurt: never.
func (c *Coordinator) rereadTLS() {
	if len(c.fleet.installation.TLS) == 0 {
		return
	}
	fresh, err := c.fleet.installation.LoadTLS()
	c.loop.Post(func() {
		if err != nil {
			c.log.Printf("event=tls_reload_failed cause=%q words=%q", err, "what could not be read stays as it was")
		}
		all := maps.Clone(c.fleet.secure)
		maps.Copy(all, fresh)
		c.fleet.secure = all
		c.log.Printf("event=tls_reloaded entries=%q", slices.Sorted(maps.Keys(fresh)))
		c.lookAtCertificates()
	})
}

// watchCertificates says, now and then, which of the certificates that TLS needs is about to run out.
func (c *Coordinator) watchCertificates() {
	if len(c.fleet.secure) > 0 {
		c.loop.Post(c.watchOn)
	}
}

func (c *Coordinator) watchOn() {
	c.lookAtCertificates()
	c.loop.After(lookAtCerts, "", c.watchOn)
}

func (c *Coordinator) lookAtCertificates() {
	c.counts.CertificatesExpiring = 0
	for _, name := range slices.Sorted(maps.Keys(c.fleet.secure)) {
		if l := c.fleet.secure[name]; runsOut(l, time.Now()) {
			c.counts.CertificatesExpiring++
			c.log.Printf("event=certificate_runs_out tls=%s at=%s", name, l.NotAfter.Format(time.RFC3339))
		}
	}
}

func runsOut(l *config.ClientTLS, now time.Time) bool {
	return !l.NotAfter.IsZero() && l.NotAfter.Sub(now) < runsOutSoon
}
