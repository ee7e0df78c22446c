package peer

import (
	"crypto/tls"
	"crypto/x509"
	"net/url"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/catkinspring/catkinspring/fleet"
)

// uriPrefix is the prefix of the URI that names a host in its certificate.
const uriPrefix = "catkinspring://host/"

// reloadInterval is the minimum time between two reads of the files, so that a
// burst of connections does not read them each time.
const reloadInterval = time.Second

// Files names the PEM files of a host's identity.
type Files struct {
	// CA holds the certificates of the fleet's CA; during a rotation both the
	// old and the new one.
	CA          string
	Certificate string
	Key         string
}

// identity is the parsed content of the files.
type identity struct {
	certificate tls.Certificate
	roots       *x509.CertPool
}

// identityStore reloads the files for new connections, so that a certificate
// rotation needs no restart.
type identityStore struct {
	files Files
	host  fleet.HostID

	mu      sync.Mutex
	current *identity
	readAt  time.Time
}

// newIdentityStore reads the files. It returns a *CertificateError or an
// *UnknownHostError if the host can't use them.
func newIdentityStore(files Files, host fleet.HostID) (*identityStore, error) {
	s := &identityStore{files: files, host: host}
	current, err := s.load()
	if err != nil {
		return nil, err
	}
	s.current = current
	s.readAt = time.Now()
	return s, nil
}

// get returns the current identity. If the files can't be loaded, for example in
// the middle of a rotation, the last valid one stays in use.
func (s *identityStore) get() *identity {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.readAt) < reloadInterval {
		return s.current
	}
	s.readAt = time.Now()
	if loaded, err := s.load(); err == nil {
		s.current = loaded
	}
	return s.current
}

func (s *identityStore) load() (*identity, error) {
	pem, err := os.ReadFile(s.files.CA)
	if err != nil {
		return nil, &CertificateError{Reason: "read CA", Cause: err}
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, &CertificateError{Reason: "no certificate in " + s.files.CA}
	}
	certificate, err := tls.LoadX509KeyPair(s.files.Certificate, s.files.Key)
	if err != nil {
		return nil, &CertificateError{Reason: "load key pair", Cause: err}
	}
	leaf, err := x509.ParseCertificate(certificate.Certificate[0])
	if err != nil {
		return nil, &CertificateError{Reason: "parse certificate", Cause: err}
	}
	if certified := certificateHost(leaf); certified != s.host {
		return nil, &UnknownHostError{Host: certified, Expected: s.host}
	}
	return &identity{certificate: certificate, roots: roots}, nil
}

// hostURI returns the URI that names a host in its certificate.
func hostURI(host fleet.HostID) *url.URL {
	return &url.URL{Scheme: "catkinspring", Host: "host", Path: "/" + string(host)}
}

// certificateHost returns the host that a certificate names, or an empty ID
// unless it names exactly one.
func certificateHost(c *x509.Certificate) fleet.HostID {
	var host fleet.HostID
	for _, uri := range c.URIs {
		name, found := strings.CutPrefix(uri.String(), uriPrefix)
		if !found {
			continue
		}
		if host != "" {
			return ""
		}
		if unescaped, err := url.PathUnescape(name); err == nil {
			host = fleet.HostID(unescaped)
		}
	}
	return host
}

// verifyPeer checks a peer's certificate against the CA and returns its host.
func (i *identity) verifyPeer(state tls.ConnectionState) (fleet.HostID, error) {
	if len(state.PeerCertificates) == 0 {
		return "", &CertificateError{Reason: "peer has none"}
	}
	intermediates := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	leaf := state.PeerCertificates[0]
	_, err := leaf.Verify(x509.VerifyOptions{
		Roots:         i.roots,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	if err != nil {
		return "", &CertificateError{Reason: "not signed by the fleet's CA", Cause: err}
	}
	host := certificateHost(leaf)
	if host == "" {
		return "", &UnknownHostError{}
	}
	return host, nil
}

// applicationProtocol is the ALPN name. It has no protocol version: the version
// is in the first message, so that a mismatch gives a clear error.
const applicationProtocol = "catkinspring"

// serverConfig returns the TLS configuration of incoming connections.
func (s *identityStore) serverConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{applicationProtocol},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return s.config(""), nil
		},
	}
}

// config returns the TLS configuration of one connection. expected is the host
// that the peer must be; if it is empty, any host of the fleet is accepted.
//
// Peers are identified by host ID and not by DNS name, so the standard check of
// the server name is replaced by VerifyConnection, which runs on both sides.
func (s *identityStore) config(expected fleet.HostID) *tls.Config {
	current := s.get()
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		NextProtos:             []string{applicationProtocol},
		Certificates:           []tls.Certificate{current.certificate},
		ClientAuth:             tls.RequireAnyClientCert,
		SessionTicketsDisabled: true,
		InsecureSkipVerify:     true,
		VerifyConnection: func(state tls.ConnectionState) error {
			host, err := current.verifyPeer(state)
			if err != nil {
				return err
			}
			if expected != "" && host != expected {
				return &UnknownHostError{Host: host, Expected: expected}
			}
			return nil
		},
	}
}
