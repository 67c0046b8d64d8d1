package crowd

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// sampleInterval is the time between two samples of a process.
const sampleInterval = 20 * time.Millisecond

// Usage is what a process holds at the most.
type Usage struct {
	// ResidentBytes is its peak of resident memory.
	ResidentBytes int64
	// UnreadBytes is the largest sum of what the kernel had received for it and it
	// hadn't read.
	UnreadBytes int64
	// Descriptors is the largest number of its open descriptors.
	Descriptors int
}

// Bytes returns the memory that a platform counts for the process, at the most.
func (u Usage) Bytes() int64 { return u.ResidentBytes + u.UnreadBytes }

// String implements fmt.Stringer.
func (u Usage) String() string {
	const mb = 1 << 20
	return fmt.Sprintf("%.1f MB resident, %.1f MB unread, %d descriptors",
		float64(u.ResidentBytes)/mb, float64(u.UnreadBytes)/mb, u.Descriptors)
}

// Meter samples a process until Stop is called.
type Meter struct {
	pid  int
	ip   string
	stop chan struct{}
	done chan struct{}

	mu   sync.Mutex // guards the field below
	peak Usage
}

// Watch starts a meter of a process that listens at an IPv4 address of its own.
func Watch(pid int, ip string) *Meter {
	m := &Meter{pid: pid, ip: ip, stop: make(chan struct{}), done: make(chan struct{})}
	go m.run()
	return m
}

// Stop ends the meter and returns the peaks.
func (m *Meter) Stop() Usage {
	close(m.stop)
	<-m.done
	return m.Peak()
}

// Peak returns the peaks up to now.
func (m *Meter) Peak() Usage {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.peak
}

func (m *Meter) run() {
	defer close(m.done)
	tick := time.NewTicker(sampleInterval)
	defer tick.Stop()
	for {
		m.sample()
		select {
		case <-tick.C:
		case <-m.stop:
			m.sample()
			return
		}
	}
}

// sample updates the peaks. What can't be read belongs to a process that has ended.
func (m *Meter) sample() {
	resident, _ := peakResident(m.pid)
	descriptors, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", m.pid))
	unread, _ := unreadBytes(m.ip)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.peak.ResidentBytes = max(m.peak.ResidentBytes, resident)
	m.peak.Descriptors = max(m.peak.Descriptors, len(descriptors))
	m.peak.UnreadBytes = max(m.peak.UnreadBytes, unread)
}

// peakResident returns the peak of a process's resident memory in bytes.
func peakResident(pid int) (int64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, errors.Wrap(err, "read status of process")
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(rest), " kB"), 10, 64)
			return kb << 10, errors.Wrap(err, "parse VmHWM")
		}
	}
	return 0, errors.New("status of process has no VmHWM")
}

// listening is the state of a listening socket in /proc/net/tcp.
const listening = "0A"

// unreadBytes returns the sum of the receive queues of all connections with a local
// IPv4 address.
func unreadBytes(ip string) (int64, error) {
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0, errors.Wrap(err, "open table of connections")
	}
	defer file.Close()
	local := fmt.Sprintf("%08X:", binary.NativeEndian.Uint32(net.ParseIP(ip).To4()))
	var sum int64
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		// Fields: number, local and remote address, state, tx_queue:rx_queue.
		f := strings.Fields(lines.Text())
		if len(f) < 5 || !strings.HasPrefix(f[1], local) || f[3] == listening {
			continue
		}
		_, queue, _ := strings.Cut(f[4], ":")
		n, err := strconv.ParseInt(queue, 16, 64)
		if err != nil {
			return 0, errors.Wrap(err, "parse receive queue")
		}
		sum += n
	}
	return sum, errors.Wrap(lines.Err(), "read table of connections")
}
