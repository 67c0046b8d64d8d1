package integration

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
	goahttp "goa.design/goa/v3/http"

	operationsclient "github.com/fireflygate/fireflygate/gen/http/operations/client"
	"github.com/fireflygate/fireflygate/gen/operations"
	"github.com/fireflygate/fireflygate/settings"
)

// statusTimeout bounds one question to an entry host.
const statusTimeout = time.Second

// Host is one entry host of a site. Its process may be replaced.
type Host struct {
	// Name is its name in the membership list.
	Name string
	// Callers is the URL for callers, Operators that for operators.
	CallersURL, OperatorsURL string

	peer     string
	dir      string
	settings settings.Settings
	links    *links
	view     *httptest.Server
	client   *http.Client

	mu      sync.Mutex // guards the fields below
	process *process
	paused  bool
}

// start starts a process with the host's settings.
func (h *Host) start(program string) error {
	p, err := startProcess(filepath.Join(h.dir, h.Name+".log"), os.Stderr, program, "serve", "-config", h.folder())
	if err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.process, h.paused = p, false
	return nil
}

func (h *Host) folder() string { return filepath.Join(h.dir, h.Name) }

// write writes the settings folder.
func (h *Host) write() error {
	data, err := toml.Marshal(h.settings)
	if err != nil {
		return errors.Wrap(err, "settings")
	}
	if err := os.MkdirAll(h.folder(), 0o755); err != nil {
		return errors.Wrap(err, "settings")
	}
	return errors.Wrap(os.WriteFile(filepath.Join(h.folder(), "10-site.toml"), data, 0o644), "settings")
}

// current returns the newest process.
func (h *Host) current() *process {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.process
}

// up reports whether its process runs and is not paused.
func (h *Host) up() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.process != nil && h.process.running() && !h.paused
}

// Ready reports whether a balancer would send it requests.
func (h *Host) Ready() bool {
	if !h.up() {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, h.OperatorsURL+"/readyz", nil)
	if err != nil {
		panic(fmt.Sprintf("integration: bad address: %v", err))
	}
	resp, err := h.client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Status asks it for its status, as operators do.
func (h *Host) Status() (*operations.HostStatus, error) {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	client := operationsclient.NewClient("http", hostOf(h.OperatorsURL), h.client, goahttp.RequestEncoder, goahttp.ResponseDecoder, false)
	res, err := client.Status()(ctx, nil)
	if err != nil {
		return nil, errors.Wrap(err, h.Name)
	}
	return res.(*operations.HostStatus), nil
}
