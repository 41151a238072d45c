package transport

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"time"
)

// devLifetime is the validity of certificates for development. This package never writes them or their keys to files.
const devLifetime = 24 * time.Hour

// DevAuthority issues short-lived certificates for the dev command and for tests. Its key exists in memory only.
type DevAuthority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// NewDevAuthority generates the key and the self-signed certificate of an authority.
func NewDevAuthority() (*DevAuthority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	template, err := devTemplate("pollenlug development authority")
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, err
	}
	return &DevAuthority{certificate, key}, nil
}

func devTemplate(name string) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	if err != nil {
		return nil, err
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-time.Minute),
		NotAfter:     time.Now().Add(devLifetime),
	}, nil
}

// issue generates a key for a node and issues a certificate for it.
func (a *DevAuthority) issue(node string) (der []byte, key *ecdsa.PrivateKey, err error) {
	if key, err = ecdsa.GenerateKey(elliptic.P256(), rand.Reader); err != nil {
		return nil, nil, err
	}
	template, err := devTemplate(node)
	if err != nil {
		return nil, nil, err
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err = x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	return der, key, err
}

// Credentials issues credentials for a node that trust only this authority.
func (a *DevAuthority) Credentials(node string) (*Credentials, error) {
	der, key, err := a.issue(node)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	pool.AddCert(a.certificate)
	certificate := &tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}
	return &Credentials{keys: keyMaterial{certificate, pool}}, nil
}

// PEM issues a certificate for a node and returns it with its key and the authority's certificate, all PEM-encoded as
// the files of TLSFiles are.
func (a *DevAuthority) PEM(node string) (certificate, key, authority []byte, err error) {
	der, private, err := a.issue(node)
	if err != nil {
		return nil, nil, nil, err
	}
	keyDER, err := x509.MarshalECPrivateKey(private)
	if err != nil {
		return nil, nil, nil, fmt.Errorf("transport: encode key: %w", err)
	}
	certificate = pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	key = pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER})
	authority = pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: a.certificate.Raw})
	return certificate, key, authority, nil
}
