package cli

import (
	"crypto/tls"
	"crypto/x509"
	"flag"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	goahttp "goa.design/goa/v3/http"

	configsclient "github.com/fireflygate/fireflygate/gen/http/configs/client"
	jobsclient "github.com/fireflygate/fireflygate/gen/http/jobs/client"
	operationsclient "github.com/fireflygate/fireflygate/gen/http/operations/client"
)

// target is the entry host that a command sends its request to.
type target struct {
	base        string
	secret      string
	authorities string
	timeout     time.Duration
	json        bool
}

// flags registers the flags common to all commands that send a request.
func (t *target) flags(f *flag.FlagSet, base string) {
	f.StringVar(&t.base, "to", base, "base `URL` of an entry host")
	f.StringVar(&t.secret, "secret", "", "`file` with the operators' credential")
	f.StringVar(&t.authorities, "authorities", "", "PEM `file` with the certificate authorities for the host's certificate")
	f.DurationVar(&t.timeout, "timeout", 10*time.Second, "longest wait for the response")
	f.BoolVar(&t.json, "json", false, "print JSON")
}

// Base URLs of a local entry host with the settings of the example folders.
const (
	localCallersURL   = "http://127.0.0.1:7100"
	localOperatorsURL = "http://127.0.0.1:7101"
)

// client returns an HTTP client that sends the credential if -secret is set.
func (t *target) client() (*http.Client, error) {
	transport := &http.Transport{}
	if t.authorities != "" {
		pem, err := os.ReadFile(t.authorities)
		if err != nil {
			return nil, errors.Wrap(err, "authorities")
		}
		pool := x509.NewCertPool()
		if !pool.AppendCertsFromPEM(pem) {
			return nil, errors.Newf("authorities: no PEM certificate in %s", t.authorities)
		}
		transport.TLSClientConfig = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13}
	}
	var rt http.RoundTripper = transport
	if t.secret != "" {
		secret, err := os.ReadFile(t.secret)
		if err != nil {
			return nil, errors.Wrap(err, "credential")
		}
		rt = &bearer{next: transport, token: strings.TrimSpace(string(secret))}
	}
	return &http.Client{Transport: rt, Timeout: t.timeout}, nil
}

// parts returns the scheme and host of the base URL, and a client.
func (t *target) parts() (scheme, host string, c *http.Client, err error) {
	u, err := url.Parse(t.base)
	if err != nil || u.Host == "" {
		return "", "", nil, errors.Newf("-to %q: expected a URL such as %s", t.base, localOperatorsURL)
	}
	c, err = t.client()
	return u.Scheme, u.Host, c, err
}

func (t *target) jobs() (*jobsclient.Client, error) {
	scheme, host, c, err := t.parts()
	if err != nil {
		return nil, err
	}
	return jobsclient.NewClient(scheme, host, c, goahttp.RequestEncoder, goahttp.ResponseDecoder, false), nil
}

func (t *target) configs() (*configsclient.Client, error) {
	scheme, host, c, err := t.parts()
	if err != nil {
		return nil, err
	}
	return configsclient.NewClient(scheme, host, c, goahttp.RequestEncoder, goahttp.ResponseDecoder, false), nil
}

func (t *target) operations() (*operationsclient.Client, error) {
	scheme, host, c, err := t.parts()
	if err != nil {
		return nil, err
	}
	return operationsclient.NewClient(scheme, host, c, goahttp.RequestEncoder, goahttp.ResponseDecoder, false), nil
}
