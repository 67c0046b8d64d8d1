package gate

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/settings"
)

// authority is a certificate authority for tests.
type authority struct {
	t    *testing.T
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	key := newKey(t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"},
		NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return &authority{t: t, cert: cert, key: key}
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

// sign returns a certificate for a host on loopback, with its key, as PEM.
func (a *authority) sign(host string, serial int64) (certificate, key []byte) {
	a.t.Helper()
	k := newKey(a.t)
	der, err := x509.CreateCertificate(rand.Reader, &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: host}, NotAfter: time.Now().Add(time.Hour),
		DNSNames: []string{host}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}, a.cert, &k.PublicKey, a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(k)
	if err != nil {
		a.t.Fatal(err)
	}
	return encode("CERTIFICATE", der), encode("PRIVATE KEY", keyDER)
}

// pair returns a certificate and key for a host, as used in a tls.Config.
func (a *authority) pair(host string) []tls.Certificate {
	a.t.Helper()
	certificate, err := tls.X509KeyPair(a.sign(host, 1))
	if err != nil {
		a.t.Fatal(err)
	}
	return []tls.Certificate{certificate}
}

func (a *authority) pool() *x509.CertPool {
	pool := x509.NewCertPool()
	pool.AddCert(a.cert)
	return pool
}

// write writes a host's certificate and key, and the authority's certificate,
// to a folder.
func (a *authority) write(dir, host string, serial int64) settings.TLS {
	a.t.Helper()
	files := settings.TLS{
		Certificate: filepath.Join(dir, "host.crt"), Key: filepath.Join(dir, "host.key"),
		Authorities: filepath.Join(dir, "authorities.crt"),
	}
	certificate, key := a.sign(host, serial)
	a.file(files.Authorities, encode("CERTIFICATE", a.cert.Raw))
	a.file(files.Key, key)
	a.file(files.Certificate, certificate)
	// The serial is used as the modification time, so that renewals within the
	// file system's time resolution are noticed.
	changed := time.Unix(serial, 0)
	if err := os.Chtimes(files.Certificate, changed, changed); err != nil {
		a.t.Fatal(err)
	}
	return files
}

// file replaces a file atomically.
func (a *authority) file(path string, data []byte) {
	a.t.Helper()
	if err := os.WriteFile(path+".new", data, 0o600); err != nil {
		a.t.Fatal(err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		a.t.Fatal(err)
	}
}

func encode(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}
