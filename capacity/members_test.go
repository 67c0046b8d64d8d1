package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/roster"
	"github.com/fireflygate/fireflygate/settings"
	"github.com/fireflygate/fireflygate/standin/httpclient"
)

// site is the number of members of each kind in a membership list.
type site struct{ hosts, workers, endpoints int }

// sites range from a small site to the design size, the latter with one endpoint
// per worker and with one per latency-critical task.
var sites = []site{{9, 65, 65}, {20, 650, 650}, {40, 4300, 4300}, {40, 4300, 18000}}

func (s site) String() string {
	return fmt.Sprintf("%dhosts-%dworkers-%dendpoints", s.hosts, s.workers, s.endpoints)
}

// list returns the site's membership list with ten zones in four regions.
func (s site) list(revision uint64) infra.MemberList {
	l := infra.MemberList{Revision: revision}
	add := func(n int, kind infra.MemberKind, name string, fill func(*infra.Member)) {
		for i := range n {
			m := infra.Member{
				Kind: kind, Name: fmt.Sprintf("%s-%05d", name, i), Address: fmt.Sprintf("10.%d.%d.%d:7000", i/65536, i/256%256, i%256),
				Region: fmt.Sprint("region-", i%10/3), Zone: fmt.Sprint("zone-", i%10), Rack: fmt.Sprintf("zone-%d-rack-%d", i%10, i/80),
				State: infra.Live,
			}
			fill(&m)
			l.Members = append(l.Members, m)
		}
	}
	add(s.hosts, infra.EntryHost, "gate", func(*infra.Member) {})
	add(s.workers, infra.Worker, "worker", func(m *infra.Member) {
		m.Capacity = infra.Resources{MilliCPU: 64000, MemoryMB: 250000}
	})
	add(s.endpoints, infra.Endpoint, "dispatch", func(m *infra.Member) {
		m.Service, m.Slots, m.Connections = "dispatch-"+m.Name[len(m.Name)-1:], 8, 64
	})
	return l
}

// BenchmarkMembersUnchanged measures reading an unchanged membership list from a
// service with entity tags, and comparing it with the previous one.
func BenchmarkMembersUnchanged(b *testing.B) {
	for _, s := range sites {
		b.Run(s.String(), func(b *testing.B) {
			body, err := json.Marshal(s.list(1))
			if err != nil {
				b.Fatal(err)
			}
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("ETag", `"1"`)
				if r.Header.Get("If-None-Match") == `"1"` {
					w.WriteHeader(http.StatusNotModified)
					return
				}
				_, _ = w.Write(body)
			}))
			defer server.Close()
			members := httpclient.NewMembers(server.URL, server.Client())
			first, err := members.List(b.Context())
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				list, err := members.List(b.Context())
				if err != nil || !slices.Equal(list.Members, first.Members) {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkMembers measures reading the membership list over HTTP and building
// the roster from it.
func BenchmarkMembers(b *testing.B) {
	for _, s := range sites {
		b.Run(s.String(), func(b *testing.B) {
			body, err := json.Marshal(s.list(1))
			if err != nil {
				b.Fatal(err)
			}
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(body) }))
			defer server.Close()
			members := httpclient.NewMembers(server.URL, server.Client())
			lease := settings.Default().Lease
			var r roster.Roster
			for b.Loop() {
				list, err := members.List(context.Background())
				if err != nil {
					b.Fatal(err)
				}
				r = roster.Build(r, list, lease)
			}
			b.ReportMetric(float64(len(body)), "bytes")
			b.ReportMetric(b.Elapsed().Seconds()*1000/float64(b.N), "ms/read")
			rosterMemory(b, s, lease)
			runtime.KeepAlive(r)
		})
	}
}

// rosterMemory reports the heap size of a roster, and the time to rebuild it from
// an unchanged list.
func rosterMemory(b *testing.B, s site, lease settings.Lease) {
	before := heapBytes()
	r := roster.Build(roster.Roster{}, s.list(1), lease)
	b.ReportMetric(heapBytes()-before, "heap-B")
	same := s.list(1)
	at := time.Now()
	const rounds = 5
	for range rounds {
		r = roster.Build(r, same, lease)
	}
	b.ReportMetric(time.Since(at).Seconds()*1000/rounds, "ms/build")
	runtime.KeepAlive(r)
}

func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return float64(s.HeapAlloc)
}
