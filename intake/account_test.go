package intake

import (
	"strings"
	"testing"
	"time"
)

// TestSlowRequestsAreOverdue guards against clients that hold a connection by sending or
// reading too little, and against limits that a client at the minimum rate meets.
func TestSlowRequestsAreOverdue(t *testing.T) {
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	half := make([]byte, 131072)
	for name, c := range map[string]struct {
		prepare func(a *Account)
		until   float64 // s
		cause   Cause
	}{
		"nothing sent": {func(*Account) {}, 3, CauseHeaderTime},
		"header begun": {func(a *Account) {
			a.Received(at(2), []byte("G"), testLimits)
			a.Received(at(4), []byte("E"), testLimits)
		}, 5, CauseHeaderTime},
		"body begun":    {func(a *Account) { a.Begin(at(1), true); a.Received(at(2), []byte("x"), testLimits) }, 4, CauseBodyTime},
		"half of body":  {func(a *Account) { a.Begin(at(0), true); a.Received(at(2), half, testLimits) }, 9, CauseBodyTime},
		"served":        {func(a *Account) { a.Begin(at(0), false); a.Done(at(1)) }, 17, CauseIdle},
		"answer unread": {func(a *Account) { a.Begin(at(0), false); a.WriteBegins(at(10)) }, 13, CauseAnswerTime},
		"running":       {func(a *Account) { a.Begin(at(0), false) }, 1000, ""},
	} {
		b := NewBudget(1<<20, 10, 0)
		a := mustOpen(t, b, start)
		c.prepare(a)
		if cause := a.overdue(at(c.until-0.01), testLimits); cause != "" {
			t.Errorf("%s: %s before %v s", name, cause, c.until)
		}
		if cause := a.overdue(at(c.until+0.01), testLimits); cause != c.cause {
			t.Errorf("%s: cause %q after %v s, want %q", name, cause, c.until, c.cause)
		}
	}
}

// TestAnswerThatIsReadInPiecesIsOverdue guards against a client that reads just enough for
// each write to end.
func TestAnswerThatIsReadInPiecesIsOverdue(t *testing.T) {
	a := &Account{phase: Running}
	now := start
	for range 100 {
		a.WriteBegins(now)
		now = now.Add(2 * time.Second)
		if a.overdue(now, testLimits) == CauseAnswerTime {
			if now.Sub(start) > testLimits.IdleTimeout+2*time.Second {
				t.Errorf("overdue after %v only", now.Sub(start))
			}
			return
		}
		a.WriteEnds(now)
	}
	t.Error("never overdue")
}

// TestHeadersCostTheirLines guards against headers of many short lines, which take far more
// memory than their bytes, and of endless ones.
func TestHeadersCostTheirLines(t *testing.T) {
	a := &Account{}
	text := strings.Repeat("a:\r\n", 4096)
	cost, cause := a.Received(start, []byte(text), testLimits)
	if want := int64(len(text) + 4096*lineCost); cost != want || cause != "" {
		t.Errorf("cost %d, cause %q for a header at the limit, want %d", cost, cause, want)
	}
	if _, cause = a.Received(start, make([]byte, readAhead+1), testLimits); cause != CauseHeaderSize {
		t.Errorf("cause %q for a longer header", cause)
	}
}

// TestPipelinedLinesAreCharged guards against header lines that arrive together with the body
// of the previous request and would be charged to none.
func TestPipelinedLinesAreCharged(t *testing.T) {
	a := &Account{}
	a.Received(start, []byte("POST / HTTP/1.1\r\n\r\n"), testLimits)
	a.Begin(start, true)
	a.Received(start, []byte("body"+strings.Repeat("a:\r\n", 1000)), testLimits)
	a.Done(start)
	if cost, _ := a.Received(start, []byte("a:"), testLimits); cost < 1000*lineCost {
		t.Errorf("cost %d of a request whose first 1000 lines arrived before", cost)
	}
}
