package main

import (
	"fmt"
	"net"
	"os"
	"sync"
	"time"
)

// world is the site around the entry hosts.
type world struct {
	dir     string
	begun   time.Time
	network string
	nextIP  int
	// returns is set if minions may start again under their IDs, uptime is how long they run
	// already.
	returns bool
	uptime  time.Duration

	mu      sync.Mutex
	record  *os.File
	store   *store
	hosts   []*host
	minions []*minion
	jobs    map[string]*job
	gangs   map[string]*gangRun
	// changes holds when lasting tasks began to work and were ordered to stop.
	changes []change
	// noted holds the tasks of which an end as done was taken note of, again counts the starts
	// after that.
	noted map[string]bool
	again int
}

// change says that a lasting task is at work from now on, or was ordered to stop.
type change struct {
	step   *step
	task   string
	atWork bool
}

// newWorld returns a world with a store, which keeps its record in a file.
func newWorld(path string) (*world, error) {
	record, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "standins3-")
	if err != nil {
		return nil, err
	}
	pid := os.Getpid()
	w := &world{
		dir: dir, begun: time.Now(), record: record, jobs: map[string]*job{}, gangs: map[string]*gangRun{}, noted: map[string]bool{},
		network: fmt.Sprintf("127.%d.%d.", 64+pid%128, pid/128%256),
	}
	w.store, err = newStore(w)
	return w, err
}

// close ends all processes of the world and removes its files.
func (w *world) close() {
	for _, h := range w.hosts {
		h.kill()
	}
	for _, m := range w.minions {
		m.crash()
	}
	w.store.close()
	_ = os.RemoveAll(w.dir)
	_ = w.record.Close()
}

// note adds a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.begun).Seconds(), fmt.Sprintf(format, args...))
}

// now returns the time since the start of the world.
func (w *world) now() time.Duration { return time.Since(w.begun) }

// ip returns the next loopback address.
func (w *world) ip() string {
	w.nextIP++
	return fmt.Sprintf("%s%d", w.network, w.nextIP)
}

// listen listens on a free port of an address.
func listen(ip string) (net.Listener, error) { return net.Listen("tcp", ip+":0") }

// freePort returns a port that is free at an address.
func freePort(ip string) (int, error) {
	ln, err := listen(ip)
	if err != nil {
		return 0, err
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().(*net.TCPAddr).Port, nil
}

// await waits until a condition holds, and returns false after a time.
func await(limit time.Duration, holds func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return false
}
