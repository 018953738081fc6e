package replicaconn

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
	expirySoon          = 14 * 24 * time.Hour // before a certificate's end this is reported
	expiryCheckInterval = time.Hour
	alpnHTTP2           = "h2" // RFC 9113, 3.1
)

// tlsError says that a connection came up, but its TLS did not.
type tlsError struct{ cause error }

func (err *tlsError) Error() string { return "TLS: " + err.cause.Error() }
func (err *tlsError) Unwrap() error { return err.cause }

// alpnError says that the replica negotiated another protocol than HTTP/2, or none.
type alpnError struct{ negotiated string }

func (err *alpnError) Error() string {
	return fmt.Sprintf("the replica negotiated %q by ALPN, not %s", err.negotiated, alpnHTTP2)
}

// handshake sets up TLS on a connection until a time. The replica must negotiate h2 (RFC 9113, 3.2): nothing of a call
// is written before that is known.
func handshake(ctx context.Context, socket net.Conn, settings *tls.Config, addr string, until time.Time) (
	net.Conn, error) {
	settings = settings.Clone()
	if settings.ServerName == "" {
		host, _, err := net.SplitHostPort(addr)
		if err != nil {
			return nil, &tlsError{err}
		}
		settings.ServerName = host
	}
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	stream := tls.Client(socket, settings)
	if err := stream.HandshakeContext(ctx); err != nil {
		return nil, &tlsError{err}
	}
	if got := stream.ConnectionState().NegotiatedProtocol; got != alpnHTTP2 {
		return nil, &tlsError{&alpnError{got}}
	}
	return stream, nil
}

// ReloadTLS reads the files that TLS needs again. New connections use what it finds, and established ones go on. A
// file that cannot be used, as it may be half written, leaves the old certificates in force. It reads files and may be
// called from any goroutine but the loop's.
func (driver *Driver) ReloadTLS() {
	if len(driver.config.Replicas.TLS) == 0 {
		return
	}
	loaded, err := driver.config.Replicas.LoadTLS()
	driver.loop.Post(func() {
		if err != nil {
			driver.log.Printf("event=tls_reload_failed cause=%q detail=%q",
				err, "what could not be read stays as it was")
		}
		all := maps.Clone(driver.tls)
		maps.Copy(all, loaded)
		driver.tls = all
		driver.log.Printf("event=tls_reloaded entries=%q", slices.Sorted(maps.Keys(loaded)))
		driver.checkCertificates()
	})
}

// WatchCertificates reports certificates that expire soon, now and from time to time. It is called before the loop
// runs.
func (driver *Driver) WatchCertificates() {
	if len(driver.tls) > 0 {
		driver.loop.Post(driver.checkCertificatesRegularly)
	}
}

func (driver *Driver) checkCertificatesRegularly() {
	driver.checkCertificates()
	driver.loop.After(expiryCheckInterval, "", driver.checkCertificatesRegularly)
}

func (driver *Driver) checkCertificates() {
	expiring := 0
	for _, name := range slices.Sorted(maps.Keys(driver.tls)) {
		client := driver.tls[name]
		if expiresSoon(client, time.Now()) {
			expiring++
			driver.log.Printf("event=certificate_expires_soon tls=%s at=%s",
				name, client.NotAfter.Format(time.RFC3339))
		}
	}
	driver.handler.CertificatesExpiring(expiring)
}

func expiresSoon(client *config.ClientTLS, now time.Time) bool {
	return !client.NotAfter.IsZero() && client.NotAfter.Sub(now) < expirySoon
}
