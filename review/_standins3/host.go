package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// host is an entry host: a process with the program of the deploy file.
type host struct {
	w        *world
	name     string
	ip       string
	frontend string
	ready    string
	peer     string
	settings string
	cmd      *exec.Cmd
	log      *os.File
}

// bounds are those of the small deployments.
const bounds = `[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 6
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
max_stretch_ms = 5000
recover_s = 12
hold_max_ms = 10000
stop_ms = 200
gang_ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
remote_factor = 3
save_s = 1
restore_ms = 250
notice_ms = 4500
move_s = 1.5
upkeep_s = 2
fencing_enforced = false
lease_ms = 3000
thaw_ms = 300
pace_ms = 100
harm_ms = 4000
`

// grownBounds turns the bounds into those of a grown deployment whose minions may start again
// under their IDs.
var grownBounds = strings.NewReplacer(
	"contact_ms = 3000", "contact_ms = 4000", "ack_ms = 4000", "ack_ms = 6000", "catch_up_s = 4", "catch_up_s = 6",
	"drain_ms = 2000", "drain_ms = 3000", "config_apply_ms = 2000", "config_apply_ms = 3000",
	"max_stretch_ms = 5000", "max_stretch_ms = 6000", "recover_s = 12", "recover_s = 15", "stop_ms = 200", "stop_ms = 900",
	"gang_ms = 3000", "gang_ms = 4000", "cancel_ms = 3000", "cancel_ms = 4000", "remote_factor = 3", "remote_factor = 2",
	"save_s = 1", "save_s = 2", "restore_ms = 250", "restore_ms = 600", "notice_ms = 4500", "notice_ms = 5500",
	"harm_ms = 4000", "harm_ms = 4500",
)

// startHosts starts a number of entry hosts and waits until all are ready.
func (w *world) startHosts(n int) error {
	for i := range n {
		h := &host{w: w, name: fmt.Sprintf("edge-%d", i+1), ip: w.ip()}
		for _, address := range []*string{&h.frontend, &h.ready, &h.peer} {
			port, err := freePort(h.ip)
			if err != nil {
				return err
			}
			*address = fmt.Sprintf("%s:%d", h.ip, port)
		}
		w.hosts = append(w.hosts, h)
	}
	for _, h := range w.hosts {
		if err := h.write(); err != nil {
			return err
		}
		if err := h.start(); err != nil {
			return err
		}
	}
	for _, h := range w.hosts {
		if !await(15*time.Second, h.isReady) {
			return fmt.Errorf("%s isn't ready after 15 s", h.name)
		}
	}
	w.note("%d entry hosts are ready", n)
	return nil
}

// write writes the settings file, as the platform places it.
func (h *host) write() error {
	var seeds []string
	for _, other := range h.w.hosts[:min(3, len(h.w.hosts))] {
		seeds = append(seeds, fmt.Sprintf("%q", other.peer))
	}
	text := fmt.Sprintf(`node_name = %q
role = "entry"
machine_class = "edge"
serves = ["edge","control"]
ip = %q
zone = "citta-alta"
region = "bergamo"
port_range = [7720,7735]
seeds = [%s]
bootstrap = true
fault_counted = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1100
contracts = ["base","drain","config","cost","recover","sched","platform","advice","upkeep","sharing"]
orders = "invoke"
[zones]
citta-alta = "bergamo"
[bind_addrs]
frontend = %q
readiness = %q
control_plane = %q
[limits]
cpu_share = 0.4
cores = 1
memory_mb = 284
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 0
regions = 0
%s[platform]
address = %q
form = "table"
writes_per_s = 800
reads_per_s = 2000
tx_ms = 5.0
part_writes_s = 200
row_bytes = 65536
cross_shard = false
history_s = 20
`, h.name, h.ip, strings.Join(seeds, ","), h.frontend, h.ready, h.peer, bounds, h.w.store.address)
	if h.w.returns {
		text = grownBounds.Replace(text)
	}
	dir := filepath.Join(h.w.dir, h.name)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	h.settings = filepath.Join(dir, "local.toml")
	return os.WriteFile(h.settings, []byte(text), 0o600)
}

// start starts the process with the command of the deploy file.
func (h *host) start() error {
	log, err := os.OpenFile(filepath.Join(h.w.dir, h.name, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	h.log = log
	h.cmd = exec.Command("target/fireflygate-edge", "serve")
	h.cmd.Env = []string{"FIREFLYGATE_SETTINGS=" + h.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + h.w.dir}
	h.cmd.Stdout, h.cmd.Stderr = log, log
	h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return h.cmd.Start()
}

// isReady makes a readiness check.
func (h *host) isReady() bool {
	status, _, err := call(500*time.Millisecond, "GET", "http://"+h.ready+"/v1/readyz", "", nil)
	return err == nil && status == 200
}

// kill ends the process at once.
func (h *host) kill() {
	if h.cmd == nil || h.cmd.Process == nil {
		return
	}
	_ = h.cmd.Process.Kill()
	_ = h.cmd.Wait()
	_ = h.log.Close()
	h.cmd = nil
}
