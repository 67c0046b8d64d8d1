package integration

import (
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/fireflygate/fireflygate/faultproxy"
)

// links are the proxies through which one entry host reaches all others.
type links struct {
	mu      sync.Mutex
	proxies map[string]*faultproxy.Proxy
}

func newLinks() *links { return &links{proxies: map[string]*faultproxy.Proxy{}} }

// to returns the address of the proxy to a member, which is made at its first
// use.
func (l *links) to(name, target string) (string, error) {
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

// get returns the proxy to a member, nil if there is none.
func (l *links) get(name string) *faultproxy.Proxy {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.proxies[name]
}

// names returns those that are reached, in order.
func (l *links) names() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Sorted(maps.Keys(l.proxies))
}

// close ends all proxies.
func (l *links) close() {
	for _, name := range l.names() {
		_ = l.get(name).Close()
	}
}

// hostOf returns IP:port of a base URL.
func hostOf(url string) string { return strings.TrimPrefix(url, "http://") }
