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

// MakeCertificates makes a CA and, from it, certificates of a box (box.pem, box.key) for some hosts and of a co-ordinator
// (client.pem, client.key) in a folder, which is made where it is missing. For trying things out: the CA's own key is
// kept beside them (ca.key) and a later call replaces all.
func MakeCertificates(folder string, hosts []string, lasts time.Duration) error {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return err
	}
	until := time.Now().Add(lasts)
	ca := &x509.Certificate{Subject: pkix.Name{CommonName: "terntray trial CA"}, NotAfter: until, IsCA: true,
		BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign}
	caKey, err := certificate(folder, "ca", ca, ca, nil)
	if err != nil {
		return err
	}
	box := &x509.Certificate{Subject: pkix.Name{CommonName: "terntray trial box"}, NotAfter: until,
		KeyUsage: x509.KeyUsageDigitalSignature, ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth}}
	for _, h := range hosts {
		if ip := net.ParseIP(h); ip != nil {
			box.IPAddresses = append(box.IPAddresses, ip)
		} else {
			box.DNSNames = append(box.DNSNames, h)
		}
	}
	client := &x509.Certificate{Subject: pkix.Name{CommonName: "terntray trial co-ordinator"}, NotAfter: until,
		KeyUsage: x509.KeyUsageDigitalSignature, ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}}
	for name, c := range map[string]*x509.Certificate{"box": box, "client": client} {
		if _, err := certificate(folder, name, c, ca, caKey); err != nil {
			return err
		}
	}
	return nil
}

// certificate makes one and its key, signed by a parent's; without a key it signs itself.
func certificate(folder, name string, c, parent *x509.Certificate, signer *ecdsa.PrivateKey) (*ecdsa.PrivateKey, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	if signer == nil {
		signer = key
	}
	if c.SerialNumber, err = rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120)); err != nil {
		return nil, err
	}
	c.NotBefore = time.Now().Add(-time.Hour)
	der, err := x509.CreateCertificate(rand.Reader, c, parent, &key.PublicKey, signer)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return nil, err
	}
	for file, block := range map[string]*pem.Block{
		name + ".pem": {Type: "CERTIFICATE", Bytes: der}, name + ".key": {Type: "EC PRIVATE KEY", Bytes: keyDER},
	} {
		if err := os.WriteFile(filepath.Join(folder, file), pem.EncodeToMemory(block), 0o600); err != nil {
			return nil, err
		}
	}
	return key, nil
}
