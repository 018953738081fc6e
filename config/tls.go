package config

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"time"
)

// suites are those of TLS 1.2 that RFC 9113 (9.2.2) does not forbid; those of 1.3 all may be used.
var suites = []uint16{
	tls.TLS_ECDHE_ECDSA_WITH_AES_128_GCM_SHA256, tls.TLS_ECDHE_RSA_WITH_AES_128_GCM_SHA256,
	tls.TLS_ECDHE_ECDSA_WITH_AES_256_GCM_SHA384, tls.TLS_ECDHE_RSA_WITH_AES_256_GCM_SHA384,
	tls.TLS_ECDHE_ECDSA_WITH_CHACHA20_POLY1305_SHA256, tls.TLS_ECDHE_RSA_WITH_CHACHA20_POLY1305_SHA256,
}

// ClientTLS is what Files hold: the client's side of TLS, and when the first of its certificates runs out.
type ClientTLS struct {
	Client  *tls.Config
	RunsOut time.Time
}

// Load reads the files. ALPN offers h2 alone; who uses it must check that it was taken.
func (f TLSFiles) Load() (*ClientTLS, error) {
	text, err := os.ReadFile(f.CA)
	if err != nil {
		return nil, fmt.Errorf("ca: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, fmt.Errorf("ca: %s: found no PEM certificate", f.CA)
	}
	l := &ClientTLS{Client: &tls.Config{RootCAs: pool, ServerName: f.ServerName, NextProtos: []string{"h2"},
		MinVersion: tls.VersionTLS12, CipherSuites: suites, ClientSessionCache: tls.NewLRUClientSessionCache(0)}}
	if f.Cert == "" {
		return l, nil
	}
	pair, err := tls.LoadX509KeyPair(f.Cert, f.Key)
	if err != nil {
		return nil, fmt.Errorf("cert %s, key %s: %w", f.Cert, f.Key, err)
	}
	if pair.Leaf == nil {
		return nil, errors.New("cert: cannot be read")
	}
	if l.RunsOut = pair.Leaf.NotAfter; time.Now().After(l.RunsOut) {
		return nil, fmt.Errorf("cert: %s: it has run out at %s", f.Cert, l.RunsOut.Format(time.RFC3339))
	}
	l.Client.Certificates = []tls.Certificate{pair}
	return l, nil
}

// LoadAll reads the files of all entries.
func (i *Config) LoadAll() (map[string]*ClientTLS, error) {
	all := map[string]*ClientTLS{}
	var bad error
	for name, f := range i.TLS {
		l, err := f.Load()
		if err != nil {
			bad = errors.Join(bad, fmt.Errorf("tls.%s.%w", name, err))
			continue
		}
		all[name] = l
	}
	return all, bad
}
