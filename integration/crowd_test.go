package integration

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/gen/jobs"
	"github.com/fireflygate/fireflygate/internal/crowd"
	"github.com/fireflygate/fireflygate/settings"
)

const (
	// crowdMemoryMB and crowdDescriptors are the limits of a host beside a crowd, so low
	// that few clients show what nothing bounds.
	crowdMemoryMB    = 128
	crowdDescriptors = 512
	// fileDescriptors is the part of the descriptors that is reserved for files.
	fileDescriptors = 200
	// crowdStay is how long a crowd stays after it has sent all: longer than the limit
	// of a header's time.
	crowdStay = 6 * time.Second
	// announced is the size of the bodies that are larger than any limit, in bytes.
	announced = 64 << 20
)

// runCrowd starts clients of gate-0 and checks that no host ends or exceeds its limits,
// and that each serves a call and a job afterwards.
func runCrowd(t *testing.T, clients int, address func(*Host) string, script crowd.Script) {
	t.Helper()
	// The race detector multiplies the memory of a program.
	programs, err := Build(t.TempDir(), "-race=false")
	if err != nil {
		t.Fatal(err)
	}
	s := New(t, Options{Programs: &programs, Settings: func(_ int, s *settings.Settings) {
		s.Host.MemoryMB, s.Host.MaxDescriptors = crowdMemoryMB, crowdDescriptors
	}})
	meters := make([]*crowd.Meter, len(s.Hosts))
	for i, h := range s.Hosts {
		meters[i] = crowd.Watch(h.current().cmd.Process.Pid, h.ip(t))
	}
	x := crowd.Start([]string{address(s.Hosts[0])}, clients, crowd.Dial, script)
	defer x.Stop()
	s.WaitUntil("each client has sent all", func() bool { return x.Passes() >= 1 })
	<-time.After(crowdStay)
	x.Stop()
	for i, h := range s.Hosts {
		u := meters[i].Stop()
		t.Logf("%s: %v, of %d connections", h.Name, u, x.Opened())
		if u.Bytes() > crowdMemoryMB<<20 {
			t.Errorf("%s held %v, its memory is %d MB", h.Name, u, crowdMemoryMB)
		}
		if bound := crowdDescriptors - fileDescriptors; u.Descriptors > bound {
			t.Errorf("%s held %d descriptors, want at most %d", h.Name, u.Descriptors, bound)
		}
		if !h.current().running() {
			t.Errorf("%s has ended", h.Name)
			continue
		}
		s.checkServes(h)
	}
}

// ip returns the address at which a host listens.
func (h *Host) ip(t *testing.T) string {
	t.Helper()
	ip, _, err := net.SplitHostPort(hostPort(h.CallersURL))
	if err != nil {
		t.Fatal(err)
	}
	return ip
}

// checkServes checks that a host serves a call and a job.
func (s *Site) checkServes(h *Host) {
	s.t.Helper()
	client := http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	s.WaitUntil(h.Name+" serves a call", func() bool {
		resp, err := client.Get(h.CallersURL + "/call/" + Service + "/")
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
	s.WaitUntil(h.Name+" accepts a job", func() bool {
		_, err := s.Submit(h, &jobs.JobSpec{
			Key: fmt.Sprintf("after-the-crowd-%s", h.Name), Team: "rounds", Class: "rounds", Qos: "batch",
			Resources: &jobs.ResourceList{MilliCPU: 100, MemoryMb: 16},
		})
		return err == nil
	})
}

func callersOf(h *Host) string   { return hostPort(h.CallersURL) }
func operatorsOf(h *Host) string { return hostPort(h.OperatorsURL) }

// crowdRequest is a crowd's request with a JSON body.
func crowdRequest(path string) crowd.Request {
	return crowd.Request{Method: http.MethodPost, Host: "gate.example", Path: path, Header: "Content-Type: application/json\r\n"}
}

// TestCrowdHoldsJobs guards against jobs that are read without a limit of size or time.
func TestCrowdHoldsJobs(t *testing.T) {
	runCrowd(t, 8, callersOf, crowd.HoldBody(crowdRequest("/jobs"), announced, 1, 64<<10))
}

// TestCrowdHoldsConfigs is the same for configurations.
func TestCrowdHoldsConfigs(t *testing.T) {
	runCrowd(t, 8, operatorsOf, crowd.HoldBody(crowdRequest("/config"), announced, 1, 64<<10))
}

// TestCrowdHoldsCalls guards against calls of legal size that all stop just short of
// their end and fill a host's memory.
func TestCrowdHoldsCalls(t *testing.T) {
	size := int(settings.Default().Calls.MaxBody)
	runCrowd(t, 250, callersOf, crowd.HoldBody(crowdRequest("/call/"+Service+"/"), size, 1, 64<<10))
}

// TestCrowdConnectsToGate guards against connections that leave a host no descriptors for
// the store, its peers and the workers.
func TestCrowdConnectsToGate(t *testing.T) {
	runCrowd(t, 600, callersOf, crowd.Connect())
}

// TestCrowdSendsHeadersToGate guards against headers of legal size without their end.
func TestCrowdSendsHeadersToGate(t *testing.T) {
	r := crowdRequest("/jobs")
	r.Header += "X-First: " + strings.Repeat("b", 1<<10) + "\r\n"
	runCrowd(t, 600, callersOf, crowd.HoldHeader(r, 30<<10))
}
