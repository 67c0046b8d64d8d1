package access

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"os"
	"time"

	"github.com/cockroachdb/errors"
)

// Identity is a host's certificate and the authorities that it trusts, read
// again when their files change.
type Identity struct {
	certificate *file[tls.Certificate]
	authorities *file[*x509.CertPool]
}

// NewIdentity reads a certificate, its key and the authorities from PEM files.
// A new certificate and key are taken when the certificate's file changes, so
// the key is to be written first.
func NewIdentity(certificate, key, authorities string, now func() time.Time) (*Identity, error) {
	id := &Identity{
		certificate: &file[tls.Certificate]{path: certificate, now: now, parse: func(data []byte) (tls.Certificate, error) {
			keyPEM, err := os.ReadFile(key)
			if err != nil {
				return tls.Certificate{}, err
			}
			return tls.X509KeyPair(data, keyPEM)
		}},
		authorities: &file[*x509.CertPool]{path: authorities, now: now, parse: parsePool},
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
		return nil, errors.New("no certificate in it")
	}
	return pool, nil
}

// Server returns the TLS settings of a port that shows this host's
// certificate. With mutual, clients must show one that an authority signed.
func (id *Identity) ServerConfig(mutual bool) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return id.serverNow(mutual)
		},
	}
}

func (id *Identity) serverNow(mutual bool) (*tls.Config, error) {
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

// Client returns the TLS settings for connections to peers, with the files as
// they are now.
func (id *Identity) ClientConfig() (*tls.Config, error) {
	certificate, err := id.certificate.get()
	if err != nil {
		return nil, err
	}
	pool, err := id.authorities.get()
	return &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{certificate}, RootCAs: pool}, err
}
