package gateway

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/fireflygate/fireflygate/peer"
)

const (
	digestServices = 10
	digestWindow   = 4 * time.Second
)

// countingListener counts the bytes of the connections that it accepts.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, l.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkDigests measures the cost of one host's digests for ten services
// over TCP on loopback, by the number of peers and the fan-out. With busy, all
// counts change between any two digests.
func BenchmarkDigests(b *testing.B) {
	for _, busy := range []bool{false, true} {
		for _, peers := range []int{8, 39, 99} {
			for _, fanOut := range []int{0, 4, 8} {
				b.Run(fmt.Sprintf("busy=%v/%dpeers/fanout%d", busy, peers, fanOut), func(b *testing.B) {
					for range b.N {
						digestCost(b, peers, fanOut, busy)
					}
				})
			}
		}
	}
}

func digestCost(b *testing.B, peers, fanOut int, busy bool) {
	var bytes, messages atomic.Int64
	ctx, cancel := context.WithCancel(b.Context())
	var running sync.WaitGroup
	addresses, hosts := map[string]string{}, []PeerHost{}
	for i := range peers {
		name := fmt.Sprintf("gate-%03d", i)
		addresses[name] = startDigestPeer(ctx, b, &running, name, &bytes, &messages)
		hosts = append(hosts, PeerHost{Name: name, Zone: "borgo-palazzo"})
	}
	client := peer.NewClient(peer.Options{Host: "a"}, rand.New(rand.NewPCG(1, 1)))
	client.SetPeers(addresses)
	g := &Gateway{opt: Options{Zone: "citta-alta", Peers: client, Log: slog.New(slog.DiscardHandler)}}
	defer func() {
		cancel()
		client.Close()
		running.Wait()
	}()
	sendRound := func(n int) {
		free := map[string]int{}
		for s := range digestServices {
			free[fmt.Sprintf("service-%02d", s)] = 100
			if busy {
				free[fmt.Sprintf("service-%02d", s)] += n % 100
			}
		}
		for _, host := range g.digests.nextPeers(hosts, fanOut) {
			if d := g.digests.nextDigest(time.Now(), host, g.opt.Zone, free); d != nil {
				running.Go(func() { g.sendDigest(ctx, host, d) })
			}
		}
	}
	ticker := time.NewTicker(digestInterval)
	defer ticker.Stop()
	for n := range int(time.Second / digestInterval) {
		<-ticker.C
		sendRound(n)
	}
	cpu, m, at := cpuTime(b), messages.Load(), time.Now()
	n0 := bytes.Load()
	for n := range int(digestWindow / digestInterval) {
		<-ticker.C
		sendRound(n)
	}
	seconds := time.Since(at).Seconds()
	count := float64(messages.Load() - m)
	b.ReportMetric(count/seconds, "messages/s")
	b.ReportMetric(float64(bytes.Load()-n0)/seconds, "B/s")
	b.ReportMetric(float64(bytes.Load()-n0)/max(count, 1), "B/message")
	b.ReportMetric((cpuTime(b)-cpu).Seconds()/seconds*100, "%core-both-ends")
}

// startDigestPeer serves a peer that receives digests until the context ends,
// and returns its address.
func startDigestPeer(ctx context.Context, b *testing.B, running *sync.WaitGroup, name string, bytes, messages *atomic.Int64) string {
	server := peer.NewServer(peer.Options{Host: name}, func(string, netip.Addr) bool { return true })
	server.Handle(MethodFreeSlots, func(_ context.Context, _ string, decode func(any) error) (any, error) {
		var d slotDigest
		messages.Add(1)
		return slotDigestReply{}, decode(&d)
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	running.Go(func() { _ = server.Serve(ctx, countingListener{l, bytes}) })
	running.Go(func() {
		<-ctx.Done()
		_ = server.Shutdown(context.Background())
	})
	return l.Addr().String()
}

func cpuTime(b *testing.B) time.Duration {
	var u unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
