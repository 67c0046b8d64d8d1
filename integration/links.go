package integration

import (
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/fireflygate/fireflygate/faultproxy"
)

// links holds the proxies through which one entry host reaches services and
// members, by name.
type links struct {
	mu      sync.Mutex
	proxies map[string]*faultproxy.Proxy
}

func newLinks() *links { return &links{proxies: map[string]*faultproxy.Proxy{}} }

// address returns the address of the proxy for name, which is created at its first
// use.
func (l *links) address(name, target string) (string, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p, ok := l.proxies[name]; ok {
		return p.Addr(), nil
	}
	p, err := faultproxy.New("127.0.0.1:0", target)
	if err != nil {
		return "", errors.Wrap(err, name)
	}
	l.proxies[name] = p
	return p.Addr(), nil
}

// get returns the proxy for name, nil if there is none.
func (l *links) get(name string) *faultproxy.Proxy {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.proxies[name]
}

// names returns the names of all proxies in sorted order.
func (l *links) names() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Sorted(maps.Keys(l.proxies))
}

// close closes all proxies.
func (l *links) close() {
	for _, name := range l.names() {
		_ = l.get(name).Close()
	}
}

// hostPort returns the IP:port of a base URL.
func hostPort(url string) string { return strings.TrimPrefix(url, "http://") }
