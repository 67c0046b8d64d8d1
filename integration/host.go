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

// statusTimeout limits one status or readiness request to an entry host.
const statusTimeout = time.Second

// Host is one entry host of a site. Its process changes when it is restarted.
type Host struct {
	// Name is the name in the membership list.
	Name string
	// CallersURL is the base URL for callers, OperatorsURL that for operators.
	CallersURL, OperatorsURL string

	peer     string
	dir      string
	settings settings.Settings
	links    *links
	members  *httptest.Server
	client   *http.Client

	mu      sync.Mutex // guards the fields below
	process *process
	paused  bool
}

// start starts a process with the settings in configDir.
func (h *Host) start(program string) error {
	p, err := startProcess(filepath.Join(h.dir, h.Name+".log"), os.Stderr, program, "serve", "-config", h.configDir())
	if err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.process, h.paused = p, false
	return nil
}

func (h *Host) configDir() string { return filepath.Join(h.dir, h.Name) }

// writeConfig writes the settings to configDir.
func (h *Host) writeConfig() error {
	data, err := toml.Marshal(h.settings)
	if err != nil {
		return errors.Wrap(err, "encode settings")
	}
	if err := os.MkdirAll(h.configDir(), 0o755); err != nil {
		return errors.Wrap(err, "create settings directory")
	}
	return errors.Wrap(os.WriteFile(filepath.Join(h.configDir(), "10-site.toml"), data, 0o644), "write settings")
}

// current returns the process started last, nil if there is none.
func (h *Host) current() *process {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.process
}

// up reports whether the process runs and is not paused.
func (h *Host) up() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.process != nil && h.process.running() && !h.paused
}

// Ready reports whether the host is up and its readiness probe succeeds.
func (h *Host) Ready() bool {
	if !h.up() {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, h.OperatorsURL+"/readyz", nil)
	if err != nil {
		panic(fmt.Sprintf("integration: invalid operators URL: %v", err))
	}
	resp, err := h.client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Status returns the status that the host reports to operators.
func (h *Host) Status() (*operations.HostStatus, error) {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	client := operationsclient.NewClient("http", hostPort(h.OperatorsURL), h.client, goahttp.RequestEncoder, goahttp.ResponseDecoder, false)
	res, err := client.Status()(ctx, nil)
	if err != nil {
		return nil, errors.Wrap(err, h.Name)
	}
	return res.(*operations.HostStatus), nil
}
