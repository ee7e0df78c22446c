package peer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net/url"
	"os"
	"path/filepath"
	"time"

	"github.com/catkinspring/catkinspring/fleet"
)

// Names of the files that an authority writes.
const (
	authorityCertificateFile = "ca.pem"
	authorityKeyFile         = "ca-key.pem"
)

// backdate is how long before its creation a certificate becomes valid, so that
// hosts whose wall clocks are behind accept it.
const backdate = 5 * time.Minute

// serialBits is the size of the random serial numbers in bits.
const serialBits = 127

// Authority is a certificate authority (CA) of a fleet. It signs the
// certificates of hosts.
type Authority struct {
	certificate *x509.Certificate
	der         []byte
	key         *ecdsa.PrivateKey
}

// NewAuthority creates a self-signed CA that is valid from shortly before now.
func NewAuthority(name string, now time.Time, validity time.Duration) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, &CertificateError{Reason: "generate CA key", Cause: err}
	}
	template, err := newTemplate(name, now, validity)
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign | x509.KeyUsageCRLSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, &CertificateError{Reason: "sign CA", Cause: err}
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, &CertificateError{Reason: "parse CA", Cause: err}
	}
	return &Authority{certificate: certificate, der: der, key: key}, nil
}

// LoadAuthority reads a CA from a directory, as written by Write. If the CA file
// holds several certificates, the first one is the signing CA.
func LoadAuthority(directory string) (*Authority, error) {
	der, err := readPEMBlock(filepath.Join(directory, authorityCertificateFile))
	if err != nil {
		return nil, err
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, &CertificateError{Reason: "parse CA", Cause: err}
	}
	keyDER, err := readPEMBlock(filepath.Join(directory, authorityKeyFile))
	if err != nil {
		return nil, err
	}
	key, err := x509.ParseECPrivateKey(keyDER)
	if err != nil {
		return nil, &CertificateError{Reason: "parse CA key", Cause: err}
	}
	if !key.PublicKey.Equal(certificate.PublicKey) {
		return nil, &CertificateError{Reason: "key does not belong to the first certificate of the CA file"}
	}
	return &Authority{certificate: certificate, der: der, key: key}, nil
}

// Write writes the CA and its key to a directory.
func (a *Authority) Write(directory string) error {
	keyDER, err := x509.MarshalECPrivateKey(a.key)
	if err != nil {
		return &CertificateError{Reason: "encode CA key", Cause: err}
	}
	if err := writePEMBlock(filepath.Join(directory, authorityKeyFile), "EC PRIVATE KEY", keyDER, 0o600); err != nil {
		return err
	}
	return writePEMBlock(filepath.Join(directory, authorityCertificateFile), "CERTIFICATE", a.der, 0o644)
}

// PEM returns the CA certificate in PEM form. The CA file of a host may hold
// several certificates, so that a new CA is trusted before its first use.
func (a *Authority) PEM() []byte {
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: a.der})
}

// IssueHost signs a certificate with a new key for a host and writes both to a
// directory as <host>.pem and <host>-key.pem. Each file is replaced atomically,
// so that a running host can read them at any time.
func (a *Authority) IssueHost(host fleet.HostID, directory string, now time.Time, validity time.Duration) (Files, error) {
	files := Files{
		CA:          filepath.Join(directory, authorityCertificateFile),
		Certificate: filepath.Join(directory, url.PathEscape(string(host))+".pem"),
		Key:         filepath.Join(directory, url.PathEscape(string(host))+"-key.pem"),
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Files{}, &CertificateError{Reason: "generate key", Cause: err}
	}
	template, err := newTemplate(string(host), now, validity)
	if err != nil {
		return Files{}, err
	}
	template.URIs = []*url.URL{hostURI(host)}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return Files{}, &CertificateError{Reason: "sign certificate", Cause: err}
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return Files{}, &CertificateError{Reason: "encode key", Cause: err}
	}
	if err := writePEMBlock(files.Key, "EC PRIVATE KEY", keyDER, 0o600); err != nil {
		return Files{}, err
	}
	return files, writePEMBlock(files.Certificate, "CERTIFICATE", der, 0o644)
}

func newTemplate(name string, now time.Time, validity time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, &CertificateError{Reason: "serial number", Cause: err}
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{Organization: []string{"catkinspring"}, CommonName: name},
		NotBefore:    now.Add(-backdate),
		NotAfter:     now.Add(validity),
	}, nil
}

func readPEMBlock(path string) ([]byte, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, &CertificateError{Reason: "read file", Cause: err}
	}
	block, _ := pem.Decode(content)
	if block == nil {
		return nil, &CertificateError{Reason: "no PEM block in " + path}
	}
	return block.Bytes, nil
}

// writePEMBlock atomically replaces a file with one PEM block.
func writePEMBlock(path, blockType string, der []byte, mode os.FileMode) error {
	temporary := path + ".new"
	content := pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der})
	if err := os.WriteFile(temporary, content, mode); err != nil {
		return &CertificateError{Reason: "write file", Cause: err}
	}
	if err := os.Rename(temporary, path); err != nil {
		return &CertificateError{Reason: "replace file", Cause: err}
	}
	return nil
}
