package integration

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// Ports of an entry host. They lie below the ephemeral port range, and each entry
// host has its own loopback address, so they remain available across restarts.
const (
	lockPort      = 7000
	callersPort   = 7001
	operatorsPort = 7002
	peersPort     = 7003
)

// blockCount is the number of address blocks that this process has tried.
var blockCount atomic.Int64

// addressBlock is the range of loopback addresses that one site uses: 127.a.b.*.
// The lock listener keeps other sites on this machine from using the same range.
type addressBlock struct {
	prefix string
	lock   net.Listener
}

// reserveBlock reserves a range that no other site on this machine uses.
func reserveBlock() (addressBlock, error) {
	const tries = 256
	for range tries {
		n := int64(os.Getpid())*8 + blockCount.Add(1)
		prefix := fmt.Sprintf("127.%d.%d", 16+n/256%200, n%256)
		lock, err := net.Listen("tcp", fmt.Sprintf("%s.1:%d", prefix, lockPort))
		if err == nil {
			return addressBlock{prefix: prefix, lock: lock}, nil
		}
	}
	return addressBlock{}, errors.New("no free range of loopback addresses after 256 tries")
}

// standInIP returns the IP address of the site's stand-ins. They use ephemeral
// ports, which other processes may reuse later; an address per site keeps requests
// for the stand-ins of one site from reaching those of another.
func (b addressBlock) standInIP() string { return b.prefix + ".2" }

// address returns the IP:port of an entry host.
func (b addressBlock) address(host, port int) string {
	return fmt.Sprintf("%s.%d:%d", b.prefix, 10+host, port)
}
