package access

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"os"
	"time"

	"github.com/cockroachdb/errors"
)

// Identity is a host's certificate and its trusted certificate authorities,
// which are reloaded when their files change.
type Identity struct {
	certificate *watchedFile[tls.Certificate]
	authorities *watchedFile[*x509.CertPool]
}

// NewIdentity reads a certificate, its key and the authorities from PEM files.
// Only a change of the certificate file reloads the key, so the key must be
// written first.
func NewIdentity(certificate, key, authorities string, now func() time.Time) (*Identity, error) {
	id := &Identity{
		certificate: &watchedFile[tls.Certificate]{path: certificate, now: now, parse: func(data []byte) (tls.Certificate, error) {
			keyPEM, err := os.ReadFile(key)
			if err != nil {
				return tls.Certificate{}, err
			}
			return tls.X509KeyPair(data, keyPEM)
		}},
		authorities: &watchedFile[*x509.CertPool]{path: authorities, now: now, parse: parsePool},
	}
	if _, err := id.certificate.get(); err != nil {
		return nil, err
	}
	_, err := id.authorities.get()
	return id, err
}

func parsePool(data []byte) (*x509.CertPool, error) {
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(bytes.TrimSpace(data)) {
		return nil, errors.New("no valid PEM certificate found")
	}
	return pool, nil
}

// ServerConfig returns the TLS configuration of a port that presents this
// host's certificate. If mutual is set, clients must present a certificate
// that a trusted authority signed.
func (id *Identity) ServerConfig(mutual bool) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return id.currentServerConfig(mutual)
		},
	}
}

func (id *Identity) currentServerConfig(mutual bool) (*tls.Config, error) {
	certificate, err := id.certificate.get()
	if err != nil {
		return nil, err
	}
	c := &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{certificate}}
	if !mutual {
		return c, nil
	}
	c.ClientAuth = tls.RequireAndVerifyClientCert
	c.ClientCAs, err = id.authorities.get()
	return c, err
}

// ClientConfig returns the TLS configuration for connections to peers, with
// the current certificate and authorities.
func (id *Identity) ClientConfig() (*tls.Config, error) {
	certificate, err := id.certificate.get()
	if err != nil {
		return nil, err
	}
	pool, err := id.authorities.get()
	return &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{certificate}, RootCAs: pool}, err
}
