package transport

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/pollenlug/pollenlug/internal/pb"
)

const (
	// applicationProtocol is the ALPN protocol name of connections between nodes.
	applicationProtocol = "pollenlug-node"
	// reloadCheckInterval is the minimum time between two checks of the files for changes. Handshakes trigger the checks,
	// so that an idle node does no file I/O.
	reloadCheckInterval = time.Second
)

// ErrPeerRefused means that the peer's certificate does not chain to the authorities or does not have the name of the
// sender in the envelope.
var ErrPeerRefused = errors.New("transport: peer refused")

// keyMaterial is a certificate with its private key and the trusted authorities.
type keyMaterial struct {
	certificate *tls.Certificate
	authorities *x509.CertPool
}

// Credentials hold the node's certificate and the authorities that the certificates of peers must chain to. The files
// are reloaded when they change; if they do not parse, the previous credentials stay in use. During a rotation, the
// authorities file contains the old and the new authority.
type Credentials struct {
	files *pb.TLSFiles // nil for keys that exist in memory only
	log   *logrus.Entry

	mu          sync.Mutex
	keys        keyMaterial
	fingerprint string
	checked     time.Time
}

// LoadCredentials reads PEM files. Its errors name the file that cannot be used.
func LoadCredentials(files *pb.TLSFiles, log *logrus.Entry) (*Credentials, error) {
	c := &Credentials{files: files, log: log}
	fingerprint, err := fileFingerprint(files)
	if err != nil {
		return nil, err
	}
	loaded, err := loadKeys(files)
	if err != nil {
		return nil, err
	}
	c.keys, c.fingerprint, c.checked = loaded, fingerprint, time.Now()
	return c, nil
}

// loadKeys parses the files.
func loadKeys(files *pb.TLSFiles) (keyMaterial, error) {
	certificate, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
	if err != nil {
		return keyMaterial{}, fmt.Errorf("transport: certificate %s with key %s: %w", files.Certificate, files.Key, err)
	}
	pem, err := os.ReadFile(files.Authorities)
	if err != nil {
		return keyMaterial{}, fmt.Errorf("transport: authorities: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return keyMaterial{}, fmt.Errorf("transport: authorities %s: no certificate found", files.Authorities)
	}
	return keyMaterial{&certificate, pool}, nil
}

// fileFingerprint returns a text that changes with the size or modification time of any of the files.
func fileFingerprint(files *pb.TLSFiles) (string, error) {
	fingerprint := ""
	for _, name := range []string{files.Certificate, files.Key, files.Authorities} {
		info, err := os.Stat(name)
		if err != nil {
			return "", fmt.Errorf("transport: %w", err)
		}
		fingerprint += fmt.Sprintf("%d/%d ", info.Size(), info.ModTime().UnixNano())
	}
	return fingerprint, nil
}

// current returns the keys in use, after reloading the files if they have changed.
func (c *Credentials) current() keyMaterial {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.files == nil || time.Since(c.checked) < reloadCheckInterval {
		return c.keys
	}
	c.checked = time.Now()
	fingerprint, err := fileFingerprint(c.files)
	if err == nil && fingerprint == c.fingerprint {
		return c.keys
	}
	var loaded keyMaterial
	if err == nil {
		loaded, err = loadKeys(c.files)
	}
	if err != nil {
		// A rotation that replaces the files one by one may be observed incomplete; a later check reads the rest.
		c.warn(err)
		return c.keys
	}
	c.keys, c.fingerprint = loaded, fingerprint
	return c.keys
}

func (c *Credentials) warn(err error) {
	if c.log != nil {
		c.log.WithError(err).Warn("TLS files cannot be read; the previous credentials stay in use")
	}
}

// tlsConfig returns the configuration for incoming and outgoing connections. The method verify replaces the standard
// verification, because nodes are dialled by address and identified by the name in their certificate. Session tickets
// are disabled so that each handshake is checked against the current authorities.
func (c *Credentials) tlsConfig() *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		NextProtos:             []string{applicationProtocol},
		ClientAuth:             tls.RequireAnyClientCert,
		InsecureSkipVerify:     true,
		SessionTicketsDisabled: true,
		VerifyConnection:       c.verify,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return c.current().certificate, nil
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return c.current().certificate, nil
		},
	}
}

// verify checks the peer's certificate chain against the current authorities.
func (c *Credentials) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return fmt.Errorf("%w: no certificate", ErrPeerRefused)
	}
	intermediates := x509.NewCertPool()
	for _, certificate := range state.PeerCertificates[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         c.current().authorities,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	})
	if err != nil {
		return fmt.Errorf("%w: %v", ErrPeerRefused, err)
	}
	return nil
}

// verifySender rejects an envelope whose sender is not a name of the peer's certificate. Names are compared exactly: a
// wildcard in a certificate matches no node.
func verifySender(state tls.ConnectionState, from string) error {
	leaf := state.PeerCertificates[0]
	if leaf.Subject.CommonName == from || slices.Contains(leaf.DNSNames, from) {
		return nil
	}
	return fmt.Errorf("%w: certificate of %q claims to be %q", ErrPeerRefused, leaf.Subject.CommonName, from)
}
