package standin_test

import (
	"context"
	"io"
	"net/http"
	"runtime"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/fireflygate/fireflygate/check"
	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/standin"
	"github.com/fireflygate/fireflygate/standin/httpclient"
)

// start starts a platform with one endpoint and one worker.
func start(t *testing.T) (*standin.Platform, *check.Recorder, *http.Client) {
	t.Helper()
	recorder := check.NewRecorder(nil)
	config := standin.DefaultConfig()
	config.Recorder = recorder
	config.Services[0].Endpoints, config.Services[0].Slots = 1, 1
	config.Workers.Count = 1
	p, err := standin.Start(config)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := p.Close(); err != nil {
			t.Error(err)
		}
	})
	return p, recorder, &http.Client{Transport: &http.Transport{}}
}

func TestTableInMemoryAndOverHTTP(t *testing.T) {
	p, _, client := start(t)
	for name, table := range map[string]infra.Table{
		"memory": standin.NewTable(),
		"http":   httpclient.NewTable(p.Addresses().Table, client),
	} {
		t.Run(name, func(t *testing.T) { testTable(t, table) })
	}
}

func testTable(t *testing.T, table infra.Table) {
	ctx := t.Context()
	put := func(key string, version uint64) infra.CommitResult {
		return table.Commit(ctx, infra.Transaction{
			Conditions: []infra.Condition{{Key: key, Version: version}},
			Writes:     []infra.Write{{Key: key, Value: []byte(key)}, {Key: "x" + key, Value: []byte("x")}},
		})
	}
	first := put("a", 0)
	if first.Status != infra.CommitApplied || first.Version == 0 {
		t.Fatalf("first commit: %+v, want applied", first)
	}
	again := put("a", 0)
	if again.Status != infra.CommitConflict || len(again.Conflicts) != 1 || again.Conflicts[0].Version != first.Version {
		t.Errorf("second commit: %+v, want a conflict with the first", again)
	}
	put("b", 0)
	rows, err := table.Scan(ctx, "x", "xa", 9)
	if err != nil || len(rows) != 1 || rows[0].Key != "xb" {
		t.Errorf("scan: rows %+v, error %v, want row xb only", rows, err)
	}
	table.Commit(ctx, infra.Transaction{Writes: []infra.Write{{Key: "a", Delete: true}}})
	rows, err = table.Get(ctx, "b", "a")
	if err != nil || len(rows) != 2 || string(rows[0].Value) != "b" || rows[1].Version != 0 {
		t.Errorf("get: rows %+v, error %v, want row b and an absent row a", rows, err)
	}
}

func TestTableFaults(t *testing.T) {
	p, _, client := start(t)
	remote := httpclient.NewTable(p.Addresses().Table, client)
	tx := infra.Transaction{Writes: []infra.Write{{Key: "k"}}}
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	for _, tc := range []struct {
		faults  standin.Faults
		ctx     context.Context
		want    infra.CommitStatus
		applied uint64
	}{
		{standin.Faults{Down: true}, t.Context(), infra.CommitNotApplied, 0},
		{standin.Faults{LoseNext: 1}, t.Context(), infra.CommitUnknown, 1},
		{standin.Faults{LoseShare: 1}, t.Context(), infra.CommitUnknown, 1},
		{standin.Faults{Hang: true}, canceled, infra.CommitUnknown, 0},
	} {
		p.Table.Set(tc.faults)
		before := p.Table.Commits()
		var got infra.CommitResult
		if tc.ctx == canceled {
			got = p.Table.Commit(tc.ctx, tx)
		} else {
			got = remote.Commit(tc.ctx, tx)
		}
		if got.Status != tc.want || p.Table.Commits()-before != tc.applied {
			t.Errorf("faults %+v: commit status %d, %d applied", tc.faults, got.Status, p.Table.Commits()-before)
		}
		if tc.faults.LoseNext > 0 {
			if got := remote.Commit(t.Context(), tx); got.Status != infra.CommitApplied {
				t.Errorf("commit after the lost reply: status %d, want applied", got.Status)
			}
		}
	}
}

func TestEndpointEchoesAndRecordsOverrun(t *testing.T) {
	p, recorder, client := start(t)
	endpoint := p.Endpoints[0]
	endpoint.Set(standin.EndpointFaults{Hang: true})
	url := "http://" + p.Addresses().Others["dispatch-0"] + "/plan"
	responses := make(chan string)
	for _, call := range []string{"a", "b"} {
		go func() {
			r, _ := http.NewRequestWithContext(t.Context(), http.MethodPost, url, strings.NewReader("body "+call))
			r.Header.Set(standin.CallHeader, call)
			r.Header.Set(standin.WorkHeader, "0")
			resp, err := client.Do(r)
			if err != nil {
				responses <- err.Error()
				return
			}
			defer resp.Body.Close()
			body, _ := io.ReadAll(resp.Body)
			responses <- resp.Header.Get(standin.CallHeader) + ":" + string(body)
		}()
	}
	for endpoint.Stats().Running < 2 {
		runtime.Gosched()
	}
	endpoint.Set(standin.EndpointFaults{})
	got := map[string]bool{<-responses: true, <-responses: true}
	if !got["a:body a"] || !got["b:body b"] {
		t.Errorf("responses %v, want the echo of both requests", got)
	}
	if n := endpoint.Stats().Overruns; n != 1 {
		t.Errorf("%d overruns, want 1", n)
	}
	report := check.Run(recorder.Records())
	if len(report.Violations) != 1 || report.Violations[0].Promise != check.SlotLimit {
		t.Errorf("violations %+v, want one of the slot limit", report.Violations)
	}
}

func TestKilledWorkerRefusesConnections(t *testing.T) {
	p, _, client := start(t)
	workers := httpclient.NewWorkers(client)
	address := p.Addresses().Others["worker-0"]
	x := infra.Exchange{OwnerEpoch: 1, LeaseMS: 60000}
	first, err := workers.Exchange(t.Context(), address, x)
	if err != nil {
		t.Fatal(err)
	}
	x.Incarnation, x.ValidUntilMS = first.Incarnation, first.ClockMS+60000
	x.Orders = []infra.Order{order(infra.OrderStart, "a", 1, "")}
	if reply, err := workers.Exchange(t.Context(), address, x); err != nil || len(reply.Runs) != 1 {
		t.Fatalf("exchange with a start: reply %+v, error %v", reply, err)
	}
	if err := p.KillWorker("worker-0"); err != nil {
		t.Fatal(err)
	}
	if _, err := workers.Exchange(t.Context(), address, x); !errors.Is(err, infra.ErrUnavailable) {
		t.Errorf("exchange with a dead worker: error %v, want ErrUnavailable", err)
	}
	if err := p.ReviveWorker("worker-0"); err != nil {
		t.Fatal(err)
	}
	reply, err := workers.Exchange(t.Context(), address, infra.Exchange{OwnerEpoch: 1, LeaseMS: 60000})
	if err != nil || len(reply.Runs) != 0 {
		t.Errorf("exchange with a revived worker: reply %+v, error %v, want no runs", reply, err)
	}
}

// TestRestartedEndpointCountsItsOwnRequests guards against a checker that counts requests
// of an ended life for the next: a restarted endpoint has all its slots again.
func TestRestartedEndpointCountsItsOwnRequests(t *testing.T) {
	p, recorder, client := start(t)
	name := p.Endpoints[0].Name()
	url := "http://" + p.Addresses().Others[name] + "/"
	p.Endpoints[0].Set(standin.EndpointFaults{Hang: true})
	aborted := make(chan error)
	go func() {
		resp, err := client.Post(url, "", strings.NewReader("before"))
		if err == nil {
			err = resp.Body.Close()
		}
		aborted <- err
	}()
	for p.Endpoints[0].Stats().Began == 0 {
		runtime.Gosched()
	}
	if err := p.Restart(name); err != nil {
		t.Fatal(err)
	}
	if err := <-aborted; err == nil {
		t.Error("the request before the restart was answered")
	}
	p.Endpoints[0].Set(standin.EndpointFaults{})
	resp, err := client.Post(url, "", strings.NewReader("after"))
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("request after the restart: %v, %v", resp, err)
	}
	if err := resp.Body.Close(); err != nil {
		t.Error(err)
	}
	if s := p.Endpoints[0].Stats(); s.Began != 2 || s.Running != 0 || s.Overruns != 0 {
		t.Errorf("stats %+v, want two requests, none of them running or above the slots", s)
	}
	if report := check.Run(recorder.Records()); len(report.Violations) != 0 {
		t.Errorf("violations: %+v", report.Violations)
	}
}

func TestMembersLag(t *testing.T) {
	p, _, client := start(t)
	members := httpclient.NewMembers(p.Addresses().Members, client)
	before, err := members.List(t.Context())
	if err != nil || len(before.Members) != 2 {
		t.Fatalf("list %+v, error %v, want 2 members", before, err)
	}
	p.Members.SetLag(standin.Lag{Held: true})
	p.Members.Remove("dispatch-0")
	held, _ := members.List(t.Context())
	p.Members.Publish()
	after, _ := members.List(t.Context())
	if held.Revision != before.Revision || after.Revision <= before.Revision || len(after.Members) != 1 {
		t.Errorf("revisions %d before the change, %d while held, %d after publication", before.Revision, held.Revision, after.Revision)
	}
}
