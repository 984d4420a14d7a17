package intake

import (
	"cmp"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"masticbay/clock"
)

// Options are the parameters of NewGate.
type Options struct {
	Machine Machine
	Clock   clock.Clock
	Log     zerolog.Logger
	// Limits returns the limits in force; nil for the defaults.
	Limits func() Limits
	// Report is called once a second with what has changed; it may be nil.
	Report func(Usage)
}

// Usage is what clients of one part hold, and how many were refused since the last report.
type Usage struct {
	Part        string
	Held        int64
	Connections int
	Refused     map[Cause]int
}

// Gate bounds what the clients of a process hold. Use NewGate to create one.
type Gate struct {
	Callers, Operations, Links *Part

	opts Options
	stop chan struct{}
}

// Part is a share of a process's memory and connections.
type Part struct {
	name   string
	gate   *Gate
	limits func() Limits

	mu      sync.Mutex // guards what follows
	budget  *Budget
	owners  map[*Account]aborter
	waiters int
	isStuck bool          // a new connection has waited in vain, and no account has ended since
	freed   chan struct{} // closed and replaced when memory is given back while someone waits
	refused map[Cause]int
}

// aborter is a connection that can be closed while it is in use.
type aborter interface {
	abort(cause Cause)
}

// sweepInterval is how often overdue connections are looked for, reportEvery after how many
// sweeps a report is made.
const (
	sweepInterval = 250 * time.Millisecond
	reportEvery   = 4
)

// grantWait bounds how long a charge or a new connection waits for connections that are being closed.
const grantWait = 200 * time.Millisecond

// NewGate returns a Gate with the shares of a machine and starts to look for overdue
// connections, until Close.
func NewGate(o Options) *Gate {
	if o.Clock == nil {
		o.Clock = clock.System{}
	}
	g := &Gate{opts: o, stop: make(chan struct{})}
	s := o.Machine.divide()
	g.Callers = g.newPart("callers", NewBudget(s.callers, s.callerConns, httpConnCost), g.httpLimits)
	g.Operations = g.newPart("operations", NewBudget(s.operations, s.operationConns, httpConnCost), func() Limits { return Limits{}.WithDefaults() })
	g.Links = g.newPart("links", NewBudget(s.links, s.linkConns, linkConnCost), linkLimits)
	go g.duty()
	return g
}

func (g *Gate) newPart(name string, b *Budget, limits func() Limits) *Part {
	return &Part{name: name, gate: g, limits: limits, budget: b, owners: make(map[*Account]aborter), freed: make(chan struct{}), refused: make(map[Cause]int)}
}

func (g *Gate) httpLimits() (l Limits) {
	if g.opts.Limits != nil {
		l = g.opts.Limits()
	}
	return l.WithDefaults()
}

// linkLimits returns the limits of links. One that has carried a message may be silent.
func linkLimits() Limits {
	return Limits{HeaderTimeout: defaultIdleTimeout, KeepAlive: time.Duration(1<<63 - 1)}.WithDefaults()
}

// Close ends the search for overdue connections. It closes no connection.
func (g *Gate) Close() { close(g.stop) }

// duty is the loop that closes overdue connections and reports.
func (g *Gate) duty() {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	last := g.opts.Clock.Now()
	for n := 1; ; n++ {
		select {
		case <-g.stop:
			return
		case <-tick.C:
		}
		now := g.opts.Clock.Now()
		// A process that was suspended first reads what has arrived meanwhile.
		if now.Sub(last) < 4*sweepInterval {
			for _, p := range g.parts() {
				p.closeOverdue(now)
			}
		}
		last = now
		if n%reportEvery == 0 {
			g.report()
		}
	}
}

func (g *Gate) parts() []*Part { return []*Part{g.Callers, g.Operations, g.Links} }

// report reports the last second, and writes one log line if there were refusals.
func (g *Gate) report() {
	var line *zerolog.Event
	for _, p := range g.parts() {
		u := p.takeUsage()
		if g.opts.Report != nil {
			g.opts.Report(u)
		}
		if len(u.Refused) == 0 {
			continue
		}
		if line == nil {
			line = g.opts.Log.Warn()
		}
		counts := zerolog.Dict().Int64("heldBytes", u.Held).Int("connections", u.Connections)
		for _, c := range sortedCauses(u.Refused) {
			counts.Int(string(c), u.Refused[c])
		}
		line.Dict(u.Part, counts)
	}
	if line != nil {
		line.Msg("clients refused or closed")
	}
}

func sortedCauses(m map[Cause]int) (causes []Cause) {
	for c := range m {
		causes = append(causes, c)
	}
	slices.SortFunc(causes, cmp.Compare[Cause])
	return causes
}

func (p *Part) takeUsage() Usage {
	p.mu.Lock()
	defer p.mu.Unlock()
	u := Usage{Part: p.name, Held: p.budget.Held(), Connections: p.budget.Connections()}
	if len(p.refused) > 0 {
		u.Refused, p.refused = p.refused, make(map[Cause]int)
	}
	return u
}

func (p *Part) count(cause Cause) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refused[cause]++
}

func (p *Part) now() time.Time { return p.gate.opts.Clock.Now() }

func (p *Part) closeOverdue(now time.Time) {
	limits := p.limits()
	p.mu.Lock()
	accounts, causes := p.budget.Overdue(now, limits)
	owners := make([]aborter, len(accounts))
	for i, a := range accounts {
		owners[i] = p.owners[a]
		p.refused[causes[i]]++
	}
	p.mu.Unlock()
	for i, o := range owners {
		o.abort(causes[i])
	}
}

// open returns an account for a connection, or nil after closing c. While earlier connections are
// being closed it waits up to grantWait for one of them, as the client may well complete its requests.
// After a wait in vain it refuses others at once until one has closed, since they wait behind each other.
func (p *Part) open(c io.Closer, owner func(*Account) aborter) (a *Account) {
	timeout := time.After(grantWait)
	for {
		p.mu.Lock()
		a, victims := p.budget.Open(p.now())
		freed, mayFit := p.freed, a == nil && p.budget.Closing() > 0 && !p.isStuck
		if a != nil {
			p.owners[a] = owner(a)
		}
		if mayFit {
			p.waiters++
		}
		owners := p.evictedOwners(victims)
		p.mu.Unlock()
		abortAll(owners)
		if a != nil {
			return a
		}
		if mayFit && p.awaitFreed(freed, timeout) {
			continue
		}
		p.mu.Lock()
		p.isStuck = p.isStuck || mayFit
		p.refused[CauseConnections]++
		p.mu.Unlock()
		_ = c.Close()
		return nil
	}
}

// evictedOwners returns the connections of accounts that are closed in favour of others, and
// counts them. The caller holds mu.
func (p *Part) evictedOwners(victims []*Account) (owners []aborter) {
	for _, v := range victims {
		owners = append(owners, p.owners[v])
		p.refused[CauseEvicted]++
	}
	return owners
}

func abortAll(owners []aborter) {
	for _, o := range owners {
		o.abort(CauseEvicted)
	}
}

// charge charges n bytes to an account and waits up to grantWait for connections that are
// closed for it. It reports whether the charge was granted.
func (p *Part) charge(a *Account, n int64) bool {
	var timeout <-chan time.Time
	for {
		p.mu.Lock()
		verdict, victims := p.budget.Charge(p.now(), a, n)
		freed := p.freed
		if verdict == Waiting {
			p.waiters++
		}
		owners := p.evictedOwners(victims)
		p.mu.Unlock()
		abortAll(owners)
		if verdict != Waiting {
			return verdict == Granted
		}
		if timeout == nil {
			timeout = time.After(grantWait)
		}
		if !p.awaitFreed(freed, timeout) {
			return false
		}
	}
}

// awaitFreed waits until an account has been given back, and reports whether that was before the
// timeout. The caller has counted itself in waiters.
func (p *Part) awaitFreed(freed <-chan struct{}, timeout <-chan time.Time) (inTime bool) {
	select {
	case <-freed:
		inTime = true
	case <-timeout:
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiters--
	return inTime
}

// update changes an account and gives back what f returns.
func (p *Part) update(a *Account, f func(now time.Time) (giveBack int64)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := f(p.now()); n > 0 {
		p.budget.Return(a, n)
		p.signalLocked()
	}
}

// release ends an account.
func (p *Part) release(a *Account) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.budget.Close(a)
	p.isStuck = false
	delete(p.owners, a)
	p.signalLocked()
}

func (p *Part) signalLocked() {
	if p.waiters > 0 {
		close(p.freed)
		p.freed = make(chan struct{})
	}
}
