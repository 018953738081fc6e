package config

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"time"
)

// tls12Suites are the cipher suites of TLS 1.2 that RFC 9113 (9.2.2) permits. All suites of TLS 1.3 are permitted.
var tls12Suites = []uint16{
	tls.TLS_ECDHE_ECDSA_WITH_AES_128_GCM_SHA256, tls.TLS_ECDHE_RSA_WITH_AES_128_GCM_SHA256,
	tls.TLS_ECDHE_ECDSA_WITH_AES_256_GCM_SHA384, tls.TLS_ECDHE_RSA_WITH_AES_256_GCM_SHA384,
	tls.TLS_ECDHE_ECDSA_WITH_CHACHA20_POLY1305_SHA256, tls.TLS_ECDHE_RSA_WITH_CHACHA20_POLY1305_SHA256,
}

// ClientTLS is a client's TLS configuration, loaded from TLSFiles.
type ClientTLS struct {
	Config   *tls.Config
	NotAfter time.Time // expiry of the client certificate; zero if there is none
}

// Load reads and validates the files. ALPN offers only h2; the caller must check that the replica accepted it. An
// expired client certificate is an error.
func (files TLSFiles) Load() (*ClientTLS, error) {
	roots, err := files.loadRoots()
	if err != nil {
		return nil, err
	}
	client := &ClientTLS{Config: &tls.Config{
		RootCAs:            roots,
		ServerName:         files.ServerName,
		NextProtos:         []string{"h2"},
		MinVersion:         tls.VersionTLS12,
		CipherSuites:       tls12Suites,
		ClientSessionCache: tls.NewLRUClientSessionCache(0),
	}}
	if files.Cert == "" {
		return client, nil
	}
	certificate, err := files.loadCertificate()
	if err != nil {
		return nil, err
	}
	client.NotAfter = certificate.Leaf.NotAfter
	client.Config.Certificates = []tls.Certificate{certificate}
	return client, nil
}

func (files TLSFiles) loadRoots() (*x509.CertPool, error) {
	text, err := os.ReadFile(files.CA)
	if err != nil {
		return nil, fmt.Errorf("ca: %w", err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(text) {
		return nil, fmt.Errorf("ca: %s: found no PEM certificate", files.CA)
	}
	return roots, nil
}

// loadCertificate returns the client certificate, with its Leaf parsed.
func (files TLSFiles) loadCertificate() (tls.Certificate, error) {
	certificate, err := tls.LoadX509KeyPair(files.Cert, files.Key)
	if err != nil {
		return tls.Certificate{}, fmt.Errorf("cert %s, key %s: %w", files.Cert, files.Key, err)
	}
	if certificate.Leaf == nil {
		return tls.Certificate{}, errors.New("cert: certificate cannot be parsed")
	}
	if notAfter := certificate.Leaf.NotAfter; time.Now().After(notAfter) {
		return tls.Certificate{}, fmt.Errorf("cert: %s: certificate expired at %s",
			files.Cert, notAfter.Format(time.RFC3339))
	}
	return certificate, nil
}

// LoadTLS loads the files of all entries of TLS and returns the results by the entries' keys. The error covers every
// entry that could not be loaded.
func (config *Config) LoadTLS() (map[string]*ClientTLS, error) {
	loaded := map[string]*ClientTLS{}
	var errs []error
	for name, files := range config.TLS {
		client, err := files.Load()
		if err != nil {
			errs = append(errs, fmt.Errorf("tls.%s.%w", name, err))
			continue
		}
		loaded[name] = client
	}
	return loaded, errors.Join(errs...)
}
