package integration

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// Ports of an entry host. They lie below those that the system hands out, and
// each entry host has a loopback address of its own, so nothing else takes
// them between the choice and the start, nor across a restart.
const (
	guardPort     = 7000
	callersPort   = 7001
	operatorsPort = 7002
	peersPort     = 7003
)

// blocks counts the address blocks taken by this process.
var blocks atomic.Int64

// block is a range of loopback addresses that one site uses: 127.a.b.*.
type block struct {
	prefix string
	guard  net.Listener
}

// takeBlock finds a range that no other site uses, on this machine.
func takeBlock() (block, error) {
	const tries = 256
	for range tries {
		n := int64(os.Getpid())*8 + blocks.Add(1)
		prefix := fmt.Sprintf("127.%d.%d", 16+n/256%200, n%256)
		guard, err := net.Listen("tcp", fmt.Sprintf("%s.1:%d", prefix, guardPort))
		if err == nil {
			return block{prefix: prefix, guard: guard}, nil
		}
	}
	return block{}, errors.New("no free range of loopback addresses")
}

// standIns returns the IP number of the site's stand-ins. Their ports are any
// free ones, and are free again once they end: on a number of their own, what
// another site still sends to its old stand-ins never comes to these.
func (b block) standIns() string { return b.prefix + ".2" }

// address returns IP:port of an entry host.
func (b block) address(host, port int) string {
	return fmt.Sprintf("%s.%d:%d", b.prefix, 10+host, port)
}
