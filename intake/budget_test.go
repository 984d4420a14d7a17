package intake

import (
	"testing"
	"time"
)

var (
	start      = time.Date(2026, 12, 6, 0, 0, 0, 0, time.UTC)
	testLimits = Limits{HeaderBytes: 16384, BodyBytes: 262144, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}.WithDefaults()
)

func mustOpen(t *testing.T, b *Budget, now time.Time) *Account {
	t.Helper()
	a, victims := b.Open(now)
	if a == nil || len(victims) > 0 {
		t.Fatalf("connection not accepted, or only by closing %d others", len(victims))
	}
	return a
}

// TestNewcomersReplaceUnfinishedRequests guards against clients that fill the budget with
// requests short of their end and thereby shut out others.
func TestNewcomersReplaceUnfinishedRequests(t *testing.T) {
	b := NewBudget(1<<20, 100, 0)
	small, large := mustOpen(t, b, start), mustOpen(t, b, start)
	for range 16 {
		b.Charge(start, large, 60<<10)
	}
	b.Charge(start, small, 60<<10)
	now := start.Add(time.Second)
	newcomer := mustOpen(t, b, now)
	v, victims := b.Charge(now, newcomer, 60<<10)
	if v != Waiting || len(victims) != 1 || victims[0] != large {
		t.Fatalf("verdict %v with %d victims, want the larger request closed", v, len(victims))
	}
	if v, victims = b.Charge(now, newcomer, 60<<10); v != Waiting || len(victims) != 0 {
		t.Errorf("verdict %v with %d more victims before the first is closed", v, len(victims))
	}
	b.Close(large)
	if v, _ = b.Charge(now, newcomer, 60<<10); v != Granted {
		t.Errorf("verdict %v after the victim is closed", v)
	}
}

// TestRunningRequestsAreNotClosed guards against jobs that are lost with their connection
// because other clients need memory.
func TestRunningRequestsAreNotClosed(t *testing.T) {
	b := NewBudget(1<<20, 100, 0)
	running := mustOpen(t, b, start)
	if v, _ := b.Charge(start, running, 700<<10); v != Granted {
		t.Fatal(v)
	}
	running.Begin(start, false)
	now := start.Add(time.Minute)
	newcomer := mustOpen(t, b, now)
	if v, victims := b.Charge(now, newcomer, 100<<10); v != Refused || len(victims) > 0 {
		t.Errorf("verdict %v with %d victims for a large request, want a refusal", v, len(victims))
	}
	if v, _ := b.Charge(now, newcomer, 10<<10); v != Granted {
		t.Errorf("verdict %v for a small request, which has a quarter of the budget", v)
	}
	if accounts, _ := b.Overdue(now, testLimits); len(accounts) != 0 {
		t.Errorf("%d overdue, want none", len(accounts))
	}
}

// TestConnectionsUseTheWholeBudget guards against new connections that are refused while large
// requests hold the part of the budget that is open to them.
func TestConnectionsUseTheWholeBudget(t *testing.T) {
	b := NewBudget(16<<20, 100, httpConnCost)
	running := mustOpen(t, b, start)
	if v, _ := b.Charge(start, running, 12<<20-httpConnCost); v != Granted {
		t.Fatal(v)
	}
	running.Begin(start, false)
	mustOpen(t, b, start)
}

// TestServedClientsKeepTheirConnections guards against idle connections of a balancer that are
// closed before those of clients that have completed no request.
func TestServedClientsKeepTheirConnections(t *testing.T) {
	b := NewBudget(1<<20, 2, 1<<10)
	served := mustOpen(t, b, start)
	served.Begin(start, false)
	b.Return(served, served.Done(start))
	silent := mustOpen(t, b, start.Add(time.Second))
	a, victims := b.Open(start.Add(2 * time.Second))
	if a == nil || len(victims) != 1 || victims[0] != silent {
		t.Errorf("account %v, %d victims; want the silent connection closed", a, len(victims))
	}
}

// TestConnectionsAreBounded guards against a process that runs out of descriptors.
func TestConnectionsAreBounded(t *testing.T) {
	b := NewBudget(1<<30, 10, 1<<10)
	for range 10 {
		mustOpen(t, b, start).Begin(start, false)
	}
	if a, _ := b.Open(start.Add(time.Hour)); a != nil {
		t.Error("a connection was accepted beyond the limit, although none may be closed")
	}
}

// TestReturnsBalance guards against a budget that shrinks or grows with connections that end
// in different ways.
func TestReturnsBalance(t *testing.T) {
	b := NewBudget(1<<20, 8, 1<<10)
	for i := range 200 {
		now := start.Add(time.Duration(i) * time.Second)
		a, victims := b.Open(now)
		if a == nil {
			t.Fatal("connection refused")
		}
		a.Received(now, []byte("GET / HTTP/1.1\r\n"), testLimits)
		b.Charge(now, a, int64(i)<<7)
		if i%3 == 0 {
			b.Return(a, a.Done(now))
		}
		for _, v := range victims {
			b.Close(v)
			b.Close(v) // by its user as well
		}
		if i%5 == 0 {
			b.Close(a)
		}
	}
	for b.Connections() > 0 {
		b.Close(b.accounts[0])
	}
	if b.held != 0 || b.releasing != 0 || b.closing != 0 {
		t.Errorf("held %d, releasing %d, closing %d without connections", b.held, b.releasing, b.closing)
	}
}

// TestSmallestMachineServesOrdinaryLoad guards against defaults that clients within the limits
// meet: 300 callers who hold connections, 100 of them with a running job of 4 KB, beside which
// a largest request is granted.
func TestSmallestMachineServesOrdinaryLoad(t *testing.T) {
	s := Machine{MemoryMB: 144, MaxDescriptors: 3075}.divide()
	b := NewBudget(s.callers, s.callerConns, httpConnCost)
	for i := range 300 {
		a := mustOpen(t, b, start)
		if i < 100 {
			if v, _ := b.Charge(start, a, 12<<10); v != Granted {
				t.Fatalf("verdict %v for caller %d", v, i)
			}
			a.Begin(start, false)
		}
	}
	a := mustOpen(t, b, start)
	for _, n := range []int64{16384 + 4096*lineCost, 2 * 262144, JSONCost(make([]byte, 262144))} {
		if v, victims := b.Charge(start, a, n); v != Granted || len(victims) > 0 {
			t.Errorf("verdict %v with %d victims for %d bytes", v, len(victims), n)
		}
	}
	if links := NewBudget(s.links, s.linkConns, linkConnCost); s.linkConns < 1000 || links.limit/linkConnCost < 1000 {
		t.Errorf("%d links, want those of a site of 940 agents", s.linkConns)
	}
	if total := s.callerConns + s.linkConns + s.operationConns; total > 3075-fileDescriptors-200 {
		t.Errorf("%d connections leave too few descriptors for connections to others", total)
	}
}
