package gate

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/fireflygate/fireflygate/configstore"
	"github.com/fireflygate/fireflygate/outcome"
	"github.com/fireflygate/fireflygate/peer"
	"github.com/fireflygate/fireflygate/settings"
)

// hopDelay is the one-way delay of a message between two hosts.
const hopDelay = 20 * time.Millisecond

// fakeNet delivers calls between configSyncs in one process and counts them.
type fakeNet struct {
	handlers map[string]map[peer.Method]peer.Handler
	messages atomic.Int64
	offers   atomic.Int64
	bytes    atomic.Int64
}

type fakePort struct {
	net  *fakeNet
	host string
}

func (p fakePort) Handle(m peer.Method, h peer.Handler) {
	if p.net.handlers[p.host] == nil {
		p.net.handlers[p.host] = map[peer.Method]peer.Handler{}
	}
	p.net.handlers[p.host][m] = h
}

func (p fakePort) Call(ctx context.Context, host string, m peer.Method, request, reply any) peer.Result {
	<-time.After(hopDelay)
	in, err := msgpack.Marshal(request)
	if err != nil {
		return peer.Result{Err: err}
	}
	answer, err := p.net.handlers[host][m](ctx, p.host, func(v any) error { return msgpack.Unmarshal(in, v) })
	if err != nil {
		return peer.Result{Err: err}
	}
	out, err := msgpack.Marshal(answer)
	if err != nil {
		return peer.Result{Err: err}
	}
	p.net.messages.Add(1)
	if m == methodConfigOffer {
		p.net.offers.Add(1)
	}
	p.net.bytes.Add(int64(len(in) + len(out)))
	<-time.After(hopDelay)
	return peer.Result{Kind: outcome.Answered, Err: msgpack.Unmarshal(out, reply)}
}

// sizedPolicy returns a policy with the given number of teams, with a service,
// an objective and a class for every five teams and an event for every four.
func sizedPolicy(b *testing.B, teams int) string {
	s := settings.Default()
	s.Services, s.Objectives = map[string]settings.Service{}, map[string]settings.Objective{}
	s.Classes, s.Events = map[string]settings.Class{}, map[string]settings.Event{}
	s.Teams = map[string]settings.Team{}
	for i := range teams {
		s.Teams[fmt.Sprintf("team-rounds-%02d", i)] = settings.Team{Weight: 1.5, MilliCPU: 1200000, MemoryMB: 4000000}
		if i%4 == 0 {
			s.Events[fmt.Sprintf("morning-rounds-%02d", i)] = settings.Event{
				Start: "06:00", Location: "Europe/Rome", Services: []string{"dispatch-00"}, Headroom: 0.3,
				Before: settings.Duration(10 * time.Minute), After: settings.Duration(20 * time.Minute),
			}
		}
		if i%5 != 0 {
			continue
		}
		service := fmt.Sprintf("dispatch-%02d", i)
		s.Services[service] = settings.Service{Slots: 8, Connections: 64, IdempotentMethods: []string{"GET", "PUT"}}
		s.Classes[service] = settings.Class{Latency: settings.Duration(60 * time.Millisecond)}
		s.Objectives["gate-"+service] = settings.Objective{
			Service: service, Latency: settings.Duration(200 * time.Millisecond), Target: 0.99, Period: settings.Duration(720 * time.Hour),
		}
	}
	content, err := settings.MarshalPolicy(s)
	if err != nil {
		b.Fatal(err)
	}
	return content
}

// BenchmarkPolicy measures the size of a policy and the cost of applying it on a
// host.
func BenchmarkPolicy(b *testing.B) {
	for _, teams := range []int{3, 12, 46} {
		b.Run(fmt.Sprint(teams, "teams"), func(b *testing.B) {
			content := sizedPolicy(b, teams)
			w := configstore.NewWatcher(nil, settings.Default(), slog.New(slog.DiscardHandler))
			b.ReportAllocs()
			version := uint64(0)
			for b.Loop() {
				version++
				if !w.ApplyIfNewer(offerOf(version, fmt.Sprintf("%s# %d\n", content, version))) {
					b.Fatal("a newer version was not applied")
				}
			}
			b.ReportMetric(float64(len(content)), "bytes")
		})
	}
}

func offerOf(version uint64, content string) configstore.Offer {
	return configstore.Offer{
		Head:    configstore.Head{Version: version, Hash: configstore.Hash(content), AttemptID: "0192f0c1-7a5e-7cc3-98c4-dc0c0c07398f", Author: "anna", AppliedUnixMS: 1764700000000, ChangedKeys: []string{"teams.team-rounds-07.weight"}},
		Content: content,
	}
}

// BenchmarkSpread measures the time, messages and bytes until a version that one host
// has accepted is in force on every host when it spreads through peers only.
func BenchmarkSpread(b *testing.B) {
	for _, hosts := range []int{6, 9, 40, 100, 300} {
		b.Run(fmt.Sprint(hosts, "hosts"), func(b *testing.B) {
			var slowest time.Duration
			for i := range b.N {
				slowest = max(slowest, pushOnce(b, hosts, uint64(i)))
			}
			b.ReportMetric(slowest.Seconds()*1000, "slowest-ms")
		})
	}
}

func pushOnce(b *testing.B, hosts int, seed uint64) time.Duration {
	content := sizedPolicy(b, 46)
	n := &fakeNet{handlers: map[string]map[peer.Method]peer.Handler{}}
	var names []string
	for i := range hosts {
		names = append(names, fmt.Sprintf("gate-%03d", i))
	}
	ctx, cancel := context.WithCancel(b.Context())
	var running, inForce sync.WaitGroup
	var syncs []*configSync
	log := slog.New(slog.DiscardHandler)
	for i, name := range names {
		w := configstore.NewWatcher(nil, settings.Default(), log)
		w.ApplyIfNewer(offerOf(1, content))
		inForce.Add(1)
		w.Subscribe(func(configstore.Current) { inForce.Done() })
		s := newConfigSync(fakePort{n, name}, fakePort{n, name}, w, rand.New(rand.NewPCG(seed, uint64(i))))
		s.setHosts(append(append([]string{}, names[:i]...), names[i+1:]...))
		syncs = append(syncs, s)
	}
	for _, s := range syncs {
		running.Go(func() { s.run(ctx) })
	}
	<-time.After(1500 * time.Millisecond) // between two rounds of anti-entropy
	n.messages.Store(0)
	n.bytes.Store(0)
	began := time.Now()
	running.Go(func() { syncs[0].accept(ctx, offerOf(2, content)) })
	inForce.Wait()
	took := time.Since(began)
	<-time.After(500 * time.Millisecond) // wait for offers still in flight
	b.ReportMetric(float64(n.messages.Load())/float64(hosts), "messages/host")
	b.ReportMetric(float64(n.bytes.Load())/float64(hosts), "B/host")
	cancel()
	running.Wait()
	return took
}
