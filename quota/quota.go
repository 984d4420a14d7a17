// Package quota holds the limits of teams across entries.
//
// # Model
//
// A limit of L concurrent tasks among E entries is split in two. Every entry
// may always use a base of one task, if L allows one for each. One entry, the
// lender of the team, grants the rest for short terms to entries that have tasks
// for it: evenly, but no entry gets more than it wants. A grant counts until its
// term has ended, even if a later grant is smaller, so that the limit is never
// exceeded. A holder that can not reach the lender falls back to the base. A
// lowered limit takes effect as terms end, and interrupts no task.
//
// Wants and grants are carried by the heartbeats between entries.
//
// Lender and Holder do no I/O and are not safe for concurrent use.
//
// # Usage
//
// At the lender, for what each entry reports:
//
//	amount := l.Lend(now, team, entry, quota.Need{Want: 12, Limit: 40, Entries: 4})
//
// At the entry:
//
//	h.Apply(now, team, amount)
//	limit := h.Limit(now, team, 40, 4)
package quota

import (
	"maps"
	"slices"
	"time"
)

// GrantTerm is how long a grant may be used after it arrived. The lender reserves it
// for ReservationTerm after sending it, which covers the longest delay of a message.
const (
	GrantTerm       = 4 * time.Second
	ReservationTerm = GrantTerm + 3*time.Second
)

// Base returns the number of tasks that each entry may always use.
func Base(limit, entries int) int {
	if entries > 0 && limit >= entries {
		return 1
	}
	return 0
}

// Need is what an entry reports about a team, with the limit that is in force.
type Need struct {
	Want    int // tasks that run or wait
	Limit   int
	Entries int
}

// Lender grants what entries may use beyond their bases. The zero Lender is ready.
type Lender struct {
	teams map[string]map[string]*loan // by team and entry
}

// loan is what the lender has granted to an entry of a team's limit.
type loan struct {
	wanted     int
	lastReport time.Time
	grants     []grant // that may be in use; each later one is smaller and ends later
}

func (l *loan) reserved(now time.Time) int {
	for len(l.grants) > 0 && !now.Before(l.grants[0].until) {
		l.grants = l.grants[1:]
	}
	if len(l.grants) == 0 {
		return 0
	}
	return l.grants[0].amount
}

// Lend returns how many tasks beyond its base an entry may run for GrantTerm.
func (l *Lender) Lend(now time.Time, team, entry string, n Need) int {
	if l.teams == nil {
		l.teams = make(map[string]map[string]*loan)
	}
	loans := l.teams[team]
	if loans == nil {
		loans = make(map[string]*loan)
		l.teams[team] = loans
	}
	entryLoan := loans[entry]
	if entryLoan == nil {
		entryLoan = &loan{}
		loans[entry] = entryLoan
	}
	base := Base(n.Limit, n.Entries)
	entryLoan.wanted, entryLoan.lastReport = max(0, n.Want-base), now
	pool := max(0, n.Limit-base*n.Entries)
	available := pool
	for id, other := range loans {
		if id != entry {
			available -= other.reserved(now)
		}
	}
	amount := max(0, min(entryLoan.wanted, fairShare(now, loans, entry, pool), available))
	entryLoan.addGrant(now, amount)
	return amount
}

// addGrant adds a grant and removes earlier ones that are not larger.
func (l *loan) addGrant(now time.Time, amount int) {
	for n := len(l.grants); n > 0 && l.grants[n-1].amount <= amount; n-- {
		l.grants = l.grants[:n-1]
	}
	l.grants = append(l.grants, grant{amount: amount, until: now.Add(ReservationTerm)})
}

// fairShare returns the max-min fair share of an entry: the pool is divided evenly
// among the entries that want some, and what one does not want goes to the others.
func fairShare(now time.Time, loans map[string]*loan, entry string, pool int) int {
	var wants []int
	for id, ln := range loans {
		if id != entry && now.Sub(ln.lastReport) < ReservationTerm && ln.wanted > 0 {
			wants = append(wants, ln.wanted)
		}
	}
	slices.Sort(wants)
	sharers := len(wants) + 1
	for _, w := range wants {
		if w > pool/sharers {
			break
		}
		pool -= w
		sharers--
	}
	return pool / sharers
}

// Holder keeps the grants that one entry has received. The zero Holder is ready.
type Holder struct {
	grants map[string]grant
}

type grant struct {
	amount int
	until  time.Time
}

// Apply replaces the grant of a team.
func (h *Holder) Apply(now time.Time, team string, amount int) {
	if h.grants == nil {
		h.grants = make(map[string]grant)
	}
	h.grants[team] = grant{amount: amount, until: now.Add(GrantTerm)}
}

// Limit returns how many tasks of a team the entry may run now.
func (h *Holder) Limit(now time.Time, team string, limit, entries int) int {
	n := Base(limit, entries)
	if g := h.grants[team]; now.Before(g.until) {
		n += g.amount
	}
	return min(n, limit)
}

// Teams returns the teams with a grant, expired ones included.
func (h *Holder) Teams() []string {
	return slices.Sorted(maps.Keys(h.grants))
}
