package crowd

import (
	"bytes"
	"net"
	"os"
	"testing"
	"time"
)

// TestMeterCountsUnreadBytes guards against a meter that doesn't see what the kernel has
// received for a process, or its memory and descriptors.
func TestMeterCountsUnreadBytes(t *testing.T) {
	const ip, size = "127.243.17.3", 4096
	ln, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	conn, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := conn.Write(bytes.Repeat([]byte("a"), size)); err != nil {
		t.Fatal(err)
	}
	m := Watch(os.Getpid(), ip)
	for range 500 {
		if m.Peak().UnreadBytes >= size {
			break
		}
		<-time.After(sampleInterval) // the interval between two looks at a condition
	}
	u := m.Stop()
	if u.UnreadBytes != size || u.ResidentBytes < 1<<20 || u.Descriptors < 3 {
		t.Errorf("%+v, want %d unread bytes, over 1 MB and over 2 descriptors", u, size)
	}
}
