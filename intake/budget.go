// Package intake bounds the memory, the descriptors and the time that clients hold.
//
// # Model
//
// The listeners of a process belong to three parts: callers, operations (ready, metrics, the
// reports of the worker) and links (other processes of the site). Each part has a Budget of
// its own, so that callers who hold all of theirs shut out neither the balancer nor a peer.
//
// Each connection has an Account. It is charged a fixed amount for itself, an amount for the
// bytes and lines of a request's header before net/http sees them, and what a handler reserves
// for a body and for its decoded form before it reads or decodes it. A charge that does not
// fit closes the connections that have held most for longest; if that does not suffice, the
// request is refused. Connections whose request is being carried out are never closed for
// that.
//
// Budget, Account and MessageMeter decide; they have no I/O, goroutines or clock. Gate, its
// listeners and Link apply the decisions to connections.
//
// # Usage
//
//	g := intake.NewGate(intake.Options{Machine: m, Clock: clk, Log: log, Limits: limits})
//	defer g.Close()
//	srv := intake.NewServer(handler)
//	go srv.Serve(g.Callers.Listener(ln))
package intake

import "time"

// Verdict is the decision about a charge.
type Verdict int

// The verdicts.
const (
	Granted Verdict = iota
	Waiting         // victims are being closed; ask again when they have been
	Refused
)

// Budget is the memory and the connections of one part. Its accounts are in the order in which
// connections were accepted, apart from removals, so that decisions are reproducible.
type Budget struct {
	limit     int64 // bytes
	maxConns  int
	connCost  int64 // charged for each connection
	held      int64 // by all accounts
	releasing int64 // of held, by accounts that are being closed
	closing   int   // accounts that are being closed
	accounts  []*Account
}

// NewBudget returns a Budget of so many bytes and connections, each of which costs connCost.
func NewBudget(limit int64, maxConns int, connCost int64) *Budget {
	return &Budget{limit: limit, maxConns: maxConns, connCost: connCost}
}

// Held returns the bytes that are charged.
func (b *Budget) Held() int64 { return b.held }

// Connections returns the number of open accounts.
func (b *Budget) Connections() int { return len(b.accounts) }

// Closing returns the number of accounts that are being closed for others.
func (b *Budget) Closing() int { return b.closing }

// largeCharge is the size from which a charge leaves a quarter of the budget to smaller ones,
// so that a few large requests which are being carried out don't shut out ordinary ones.
const largeCharge = 64 << 10

func (b *Budget) limitFor(n int64) int64 {
	if n >= largeCharge {
		return b.limit / 4 * 3
	}
	return b.limit
}

// Cap returns n, or the largest charge that is ever granted if that is less.
func (b *Budget) Cap(n int64) int64 {
	return min(n, b.limit/2)
}

// Open returns an account for a new connection, and the accounts to close for it. The account
// is nil if the connection must be refused.
func (b *Budget) Open(now time.Time) (a *Account, victims []*Account) {
	if len(b.accounts)-b.closing >= b.maxConns {
		v := b.victim(now, nil)
		if v == nil || len(b.accounts) >= b.maxConns+maxClosing {
			return nil, nil
		}
		victims = append(victims, b.evict(v))
	}
	a = &Account{index: len(b.accounts), since: now, base: b.connCost}
	verdict, more := b.charge(now, a, b.connCost, b.limit)
	if verdict == Refused {
		return nil, append(victims, more...)
	}
	if verdict == Waiting { // the victims make room for it within moments
		a.held += b.connCost
		b.held += b.connCost
	}
	b.accounts = append(b.accounts, a)
	return a, append(victims, more...)
}

// maxClosing bounds the connections that are open beyond the limit while victims are being
// closed.
const maxClosing = 64

// Charge charges n bytes to an account, or says which accounts must be closed first.
func (b *Budget) Charge(now time.Time, a *Account, n int64) (v Verdict, victims []*Account) {
	return b.charge(now, a, n, b.limitFor(n))
}

// charge is Charge with the part of the budget that may be held afterwards.
func (b *Budget) charge(now time.Time, a *Account, n, limit int64) (v Verdict, victims []*Account) {
	if n <= 0 || b.held+n <= limit {
		a.held += n
		b.held += n
		return Granted, nil
	}
	if a.evicted || n > limit {
		return Refused, nil
	}
	for b.held+n-b.releasing > limit {
		victim := b.victim(now, a)
		if victim == nil {
			return Refused, victims
		}
		victims = append(victims, b.evict(victim))
	}
	return Waiting, victims
}

// victim returns the account that has held most for longest, and nil if that is asker or none
// may be closed.
func (b *Budget) victim(now time.Time, asker *Account) (victim *Account) {
	most := -1.0
	for _, a := range b.accounts {
		if a.evicted || !a.phase.evictable() {
			continue
		}
		if s := a.weight(now); s > most {
			victim, most = a, s
		}
	}
	if victim == asker {
		return nil
	}
	return victim
}

func (b *Budget) evict(a *Account) *Account {
	a.evicted = true
	b.releasing += a.held
	b.closing++
	return a
}

// Return gives back n bytes of an account.
func (b *Budget) Return(a *Account, n int64) {
	n = min(n, a.held)
	a.held -= n
	b.held -= n
	if a.evicted {
		b.releasing -= n
	}
}

// Close ends an account.
func (b *Budget) Close(a *Account) {
	if a.index >= len(b.accounts) || b.accounts[a.index] != a {
		return
	}
	b.Return(a, a.held)
	if a.evicted {
		b.closing--
	}
	last := len(b.accounts) - 1
	b.accounts[a.index] = b.accounts[last]
	b.accounts[a.index].index = a.index
	b.accounts[last] = nil
	b.accounts = b.accounts[:last]
}

// Overdue marks the accounts whose connection has taken longer than the limits allow as being
// closed, and returns them with the causes.
func (b *Budget) Overdue(now time.Time, l Limits) (accounts []*Account, causes []Cause) {
	for _, a := range b.accounts {
		if a.evicted {
			continue
		}
		if cause := a.overdue(now, l); cause != "" {
			accounts, causes = append(accounts, b.evict(a)), append(causes, cause)
		}
	}
	return accounts, causes
}
