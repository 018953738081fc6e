package config

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"
)

const (
	serialBits = 120       // of a certificate's random serial number
	backdating = time.Hour // of the start of validity, for hosts whose clocks are behind
)

// issuer signs certificates.
type issuer struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// MakeCertificates writes a CA (ca.pem, ca.key) and two certificates signed by it to a folder, which it creates if
// needed: one for a replica at the given hosts (box.pem, box.key) and one for a co-ordinator (client.pem, client.key).
// They are for testing only, because the CA's key is stored with them. Existing files are overwritten.
func MakeCertificates(folder string, hosts []string, validity time.Duration) error {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return err
	}
	notAfter := time.Now().Add(validity)
	authority := &x509.Certificate{
		Subject:               pkix.Name{CommonName: "terntray trial CA"},
		NotAfter:              notAfter,
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	authorityKey, err := writeCertificate(folder, "ca", authority, nil)
	if err != nil {
		return err
	}
	signer := &issuer{certificate: authority, key: authorityKey}
	if _, err := writeCertificate(folder, "box", replicaCertificate(hosts, notAfter), signer); err != nil {
		return err
	}
	_, err = writeCertificate(folder, "client", clientCertificate(notAfter), signer)
	return err
}

func replicaCertificate(hosts []string, notAfter time.Time) *x509.Certificate {
	certificate := &x509.Certificate{
		Subject:     pkix.Name{CommonName: "terntray trial box"},
		NotAfter:    notAfter,
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	}
	for _, host := range hosts {
		if ip := net.ParseIP(host); ip != nil {
			certificate.IPAddresses = append(certificate.IPAddresses, ip)
		} else {
			certificate.DNSNames = append(certificate.DNSNames, host)
		}
	}
	return certificate
}

func clientCertificate(notAfter time.Time) *x509.Certificate {
	return &x509.Certificate{
		Subject:     pkix.Name{CommonName: "terntray trial co-ordinator"},
		NotAfter:    notAfter,
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth},
	}
}

// writeCertificate writes NAME.pem and NAME.key with a new key. Without a signer the certificate is self-signed.
func writeCertificate(folder, name string, template *x509.Certificate, signer *issuer) (*ecdsa.PrivateKey, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	if signer == nil {
		signer = &issuer{certificate: template, key: key}
	}
	template.SerialNumber, err = rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, err
	}
	template.NotBefore = time.Now().Add(-backdating)
	certificateDER, err := x509.CreateCertificate(rand.Reader, template, signer.certificate, &key.PublicKey, signer.key)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return nil, err
	}
	if err := writePEM(filepath.Join(folder, name+".pem"), "CERTIFICATE", certificateDER); err != nil {
		return nil, err
	}
	if err := writePEM(filepath.Join(folder, name+".key"), "EC PRIVATE KEY", keyDER); err != nil {
		return nil, err
	}
	return key, nil
}

func writePEM(file, blockType string, der []byte) error {
	block := &pem.Block{Type: blockType, Bytes: der}
	return os.WriteFile(file, pem.EncodeToMemory(block), 0o600)
}
