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
	expiryWarning       = 14 * 24 * time.Hour // certificates are reported this long before they expire
	expiryCheckInterval = time.Hour
	alpnHTTP2           = "h2" // RFC 9113, 3.1
)

// tlsError means that a connection was established, but its TLS handshake failed.
type tlsError struct{ cause error }

// Error returns the cause of the failure, marked as one of TLS.
func (err *tlsError) Error() string { return "TLS: " + err.cause.Error() }
func (err *tlsError) Unwrap() error { return err.cause }

// alpnError means that the replica negotiated a protocol other than HTTP/2, or none.
type alpnError struct{ negotiated string }

// Error returns the negotiated protocol and the required one.
func (err *alpnError) Error() string {
	return fmt.Sprintf("the replica negotiated %q by ALPN, not %s", err.negotiated, alpnHTTP2)
}

// handshake performs the TLS handshake on a connection, with until as the deadline. The replica must negotiate h2
// (RFC 9113, 3.2): nothing of a call is written before that.
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
	if negotiated := stream.ConnectionState().NegotiatedProtocol; negotiated != alpnHTTP2 {
		return nil, &tlsError{&alpnError{negotiated}}
	}
	return stream, nil
}

// ReloadTLS reloads the TLS files. New connections use the result, and established ones are not affected. If a file
// cannot be used, for example because it is only half written, the previous certificates remain in use. As it reads
// files, it must not be called on the event loop; any other goroutine may call it.
func (driver *Driver) ReloadTLS() {
	if len(driver.config.Replicas.TLS) == 0 {
		return
	}
	loaded, err := driver.config.Replicas.LoadTLS()
	driver.loop.Post(func() {
		if err != nil {
			driver.log.Printf("event=tls_reload_failed cause=%q detail=%q",
				err, "entries that could not be loaded keep their previous certificates")
		}
		all := maps.Clone(driver.tls)
		maps.Copy(all, loaded)
		driver.tls = all
		driver.log.Printf("event=tls_reloaded entries=%q", slices.Sorted(maps.Keys(loaded)))
		driver.checkCertificates()
	})
}

// WatchCertificates reports certificates that expire soon, now and at regular intervals. It must be called before the
// loop runs.
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
	return !client.NotAfter.IsZero() && client.NotAfter.Sub(now) < expiryWarning
}
