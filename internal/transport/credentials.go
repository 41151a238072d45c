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
	// applicationProtocol is the ALPN name of the connections between nodes.
	applicationProtocol = "pollenlug-node"
	// reloadCheck is the least time between two looks at the files. A handshake triggers the look, so that an
	// idle node reads nothing.
	reloadCheck = time.Second
)

// ErrPeerRefused means that the peer's certificate does not chain to the authorities or has another name than
// the envelope.
var ErrPeerRefused = errors.New("transport: peer refused")

// keys are one certificate with its key and the authorities in force.
type keys struct {
	certificate *tls.Certificate
	authorities *x509.CertPool
}

// Credentials hold the node's certificate and the authorities that peers must chain to. They are read again
// when a file changes. During a rotation the file of authorities holds the old and the new one; files that do
// not parse leave the credentials as they were.
type Credentials struct {
	files *pb.TLSFiles // nil when the keys are only in memory
	log   *logrus.Entry

	mu      sync.Mutex
	keys    keys
	stamp   string
	checked time.Time
}

// LoadCredentials reads PEM files; an error names the file that cannot be used.
func LoadCredentials(files *pb.TLSFiles, log *logrus.Entry) (*Credentials, error) {
	c := &Credentials{files: files, log: log}
	stamp, err := fileStamp(files)
	if err != nil {
		return nil, err
	}
	loaded, err := loadKeys(files)
	if err != nil {
		return nil, err
	}
	c.keys, c.stamp, c.checked = loaded, stamp, time.Now()
	return c, nil
}

// loadKeys parses the files.
func loadKeys(files *pb.TLSFiles) (keys, error) {
	certificate, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
	if err != nil {
		return keys{}, fmt.Errorf("transport: certificate %s with key %s: %w", files.Certificate, files.Key, err)
	}
	pem, err := os.ReadFile(files.Authorities)
	if err != nil {
		return keys{}, fmt.Errorf("transport: authorities: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return keys{}, fmt.Errorf("transport: authorities %s: no certificate found", files.Authorities)
	}
	return keys{&certificate, pool}, nil
}

// fileStamp changes when one of the files changes its size or modification time.
func fileStamp(files *pb.TLSFiles) (string, error) {
	stamp := ""
	for _, name := range []string{files.Certificate, files.Key, files.Authorities} {
		info, err := os.Stat(name)
		if err != nil {
			return "", fmt.Errorf("transport: %w", err)
		}
		stamp += fmt.Sprintf("%d/%d ", info.Size(), info.ModTime().UnixNano())
	}
	return stamp, nil
}

// current returns the keys in force and reads the files again when they have changed.
func (c *Credentials) current() keys {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.files == nil || time.Since(c.checked) < reloadCheck {
		return c.keys
	}
	c.checked = time.Now()
	stamp, err := fileStamp(c.files)
	if err == nil && stamp == c.stamp {
		return c.keys
	}
	var loaded keys
	if err == nil {
		loaded, err = loadKeys(c.files)
	}
	if err != nil {
		// A rotation that replaces the files one by one is seen halfway; the next look sees the rest.
		c.warn(err)
		return c.keys
	}
	c.keys, c.stamp = loaded, stamp
	return c.keys
}

func (c *Credentials) warn(err error) {
	if c.log != nil {
		c.log.WithError(err).Warn("TLS files cannot be read; the previous credentials stay in use")
	}
}

// tlsConfig serves both directions. Verification is done by verify, because nodes are dialled by address and
// named by their certificate. Session tickets are off so that each handshake is checked against the
// authorities in force.
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

// verify checks the peer's chain against the authorities in force.
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

// checkName refuses an envelope whose sender is not the holder of the certificate. Names match exactly:
// a wildcard in a certificate matches no node.
func checkName(state tls.ConnectionState, from string) error {
	leaf := state.PeerCertificates[0]
	if leaf.Subject.CommonName == from || slices.Contains(leaf.DNSNames, from) {
		return nil
	}
	return fmt.Errorf("%w: certificate of %q claims to be %q", ErrPeerRefused, leaf.Subject.CommonName, from)
}
