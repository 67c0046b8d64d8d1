package peer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"math/big"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/outcome"
)

// newTLSConfig creates a self-signed certificate for host, adds it to pool and
// returns a configuration for mutual TLS that trusts pool.
func newTLSConfig(t *testing.T, host string, pool *x509.CertPool) *tls.Config {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), DNSNames: []string{host}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	leaf, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	pool.AddCert(leaf)
	return &tls.Config{
		Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}},
		RootCAs:      pool, ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert,
	}
}

// staticConfig returns an Options.TLS function that always returns c.
func staticConfig(c *tls.Config) func() (*tls.Config, error) {
	return func() (*tls.Config, error) { return c, nil }
}

func TestCertificateMatchesHostName(t *testing.T) {
	pool := x509.NewCertPool()
	a, b := newTLSConfig(t, "a", pool), newTLSConfig(t, "b", pool)
	_, address := serve(t, Options{Host: "b", TLS: staticConfig(b)}, admitAll, nil)
	cases := map[string]struct {
		options Options
		want    outcome.Kind
	}{
		"its own name":    {Options{Host: "a", TLS: staticConfig(a)}, outcome.Answered},
		"another's name":  {Options{Host: "c", TLS: staticConfig(a)}, outcome.NotRun},
		"no certificate":  {Options{Host: "a", TLS: staticConfig(&tls.Config{RootCAs: pool})}, outcome.NotRun},
		"no TLS":          {Options{Host: "a"}, outcome.NotRun},
		"unknown signer":  {Options{Host: "a", TLS: staticConfig(newTLSConfig(t, "a", x509.NewCertPool()))}, outcome.NotRun},
		"its name, again": {Options{Host: "a", TLS: staticConfig(a)}, outcome.Answered},
	}
	for name, tc := range cases {
		c := dialer(t, tc.options, address)
		if r := c.Call(t.Context(), "b", "echo", echoMessage{}, nil); r.Kind != tc.want {
			t.Errorf("%s: unexpected result %+v", name, r)
		}
	}
}
