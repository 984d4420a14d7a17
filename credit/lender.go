// Package credit assigns tasks to free slots without probing.
//
// # Model
//
// An agent lends the free slots of its target as credits to entries. A task
// waits in its entry until the entry holds a credit; the dispatch spends it,
// and the reply, sent when the task has ended, usually grants a new one. So a
// task costs two messages, and it is assigned to a slot only when one is free.
//
// A Lender moves a credit to another entry if the borrower has no waiting tasks
// and the other entry has at least threshold, or if the other entry holds less
// than its even share of the slots. A low threshold favours response time, a high
// one saves messages.
//
// A loan is counted by totals that only grow within an epoch, so that replies may
// arrive out of order or twice. The agent starts a new epoch for an entry after
// it has revoked credits that the entry may still count on.
//
// Lender and Balance do no I/O and are not safe for concurrent use.
//
// # Usage
//
// At the agent, for each dispatch:
//
//	free := l.HasFreeSlot(entry, epoch)
//	dec := g.Dispatch(now, &d, free)
//	l.DispatchDecided(entry, epoch, demand, dec.Verdict == gate.Start)
//
// When the task ends, moved lists the entries to notify:
//
//	moved := l.Finish(entry)
//	reply.Offer = l.Offer(entry)
package credit

// Offer is the state of a loan at the agent.
type Offer struct {
	Epoch   uint64
	Granted uint64 // credits granted in this epoch
}

// Lender shares the slots of one target among entries. The zero Lender has no
// slots and moves a credit on any demand.
type Lender struct {
	threshold int
	slots     int
	running   int
	epoch     uint64
	loans     map[string]*loan
	order     []string // entries in the order of their first contact
}

// loan holds the credits and the running tasks of one entry.
type loan struct {
	epoch    uint64
	granted  uint64
	spent    uint64
	returned uint64
	demand   int
	running  int // tasks of the entry on the target
}

// slotsHeld returns the number of slots that the entry occupies or has credits
// for.
func (l *loan) slotsHeld() int { return l.running + l.outstanding() }

// outstanding returns the number of credits that the entry can still spend.
func (l *loan) outstanding() int {
	return int(l.granted - l.spent - l.returned)
}

// NewLender returns a Lender that moves credits at a demand of threshold tasks,
// or of one task if threshold is lower. Its epochs start at 1, so an incarnation
// must not replace its Lender by a new one.
func NewLender(threshold int) *Lender {
	return &Lender{threshold: max(1, threshold), loans: make(map[string]*loan)}
}

// SetSlots changes the number of slots. A lower number takes effect as tasks
// end and is never exceeded by a new start.
func (l *Lender) SetSlots(n int) { l.slots = n }

// Slots returns the number of slots.
func (l *Lender) Slots() int { return l.slots }

// Running returns the number of slots that are in use.
func (l *Lender) Running() int { return l.running }

// Lent returns the number of credits that entries can still spend.
func (l *Lender) Lent() (n int) {
	for _, ln := range l.loans {
		n += ln.outstanding()
	}
	return n
}

// spare returns the number of slots that are neither in use nor lent.
func (l *Lender) spare() int {
	return l.slots - l.running - l.Lent()
}

// Idle returns the number of slots that are free and not lent to entry.
func (l *Lender) Idle(entry string) int {
	idle := l.slots - l.running
	if ln := l.loans[entry]; ln != nil {
		idle -= ln.outstanding()
	}
	return max(0, idle)
}

// HoldsSlots reports whether entry holds credits or has running tasks.
func (l *Lender) HoldsSlots(entry string) bool {
	ln := l.loans[entry]
	return ln != nil && ln.slotsHeld() > 0
}

// ensureLoan returns the loan of entry, in a new epoch if it has none.
func (l *Lender) ensureLoan(entry string) *loan {
	ln := l.loans[entry]
	if ln != nil {
		return ln
	}
	if l.loans == nil {
		l.loans = make(map[string]*loan)
	}
	l.epoch++
	ln = &loan{epoch: l.epoch}
	l.loans[entry] = ln
	l.order = append(l.order, entry)
	return ln
}

// Offer returns the loan of entry, or a zero Offer if it has none.
func (l *Lender) Offer(entry string) Offer {
	ln := l.loans[entry]
	if ln == nil {
		return Offer{}
	}
	return Offer{Epoch: ln.epoch, Granted: ln.granted}
}

// HasFreeSlot reports whether a dispatch of entry can have a slot: the one that its
// credit stands for, or else one that is not lent.
func (l *Lender) HasFreeSlot(entry string, epoch uint64) bool {
	if l.running >= l.slots {
		return false
	}
	ln := l.ensureLoan(entry)
	return ln.hasCredit(epoch) || l.spare() > 0
}

// hasCredit reports whether a dispatch that names epoch can spend a credit.
func (l *loan) hasCredit(epoch uint64) bool {
	return epoch == l.epoch && l.outstanding() > 0
}

// DispatchDecided records the decision about a dispatch and the entry's remaining demand.
func (l *Lender) DispatchDecided(entry string, epoch uint64, demand int, started bool) {
	ln := l.ensureLoan(entry)
	ln.demand = demand
	if ln.hasCredit(epoch) {
		ln.spent++
	}
	if started {
		l.running++
		ln.running++
		return
	}
	l.lendSpareTo(entry)
}

// DispatchLost records that the dispatch that spent a credit will never arrive.
func (l *Lender) DispatchLost(entry string, epoch uint64) {
	ln := l.ensureLoan(entry)
	if ln.hasCredit(epoch) {
		ln.spent++
		l.lendSpareTo(entry)
	}
}

// Finish frees the slot of a task that entry dispatched, and lends it again.
// It returns the entries other than entry whose loan has grown. If the loan of
// entry was revoked, the slot is lent to an entry with demand, or stays spare.
func (l *Lender) Finish(entry string) []string {
	l.running--
	ln := l.loans[entry]
	if ln == nil {
		return l.lendByDemand()
	}
	if ln.running > 0 {
		ln.running--
	}
	return l.lendFreed(entry)
}

// lendByDemand lends a spare slot to the entry with the highest demand, and
// returns that entry.
func (l *Lender) lendByDemand() []string {
	var chosen string
	highestDemand := 0
	for _, id := range l.order {
		if n := l.loans[id].demand; n > highestDemand && l.spare() > 0 {
			chosen, highestDemand = id, n
		}
	}
	if highestDemand == 0 {
		return nil
	}
	l.loans[chosen].granted++
	return []string{chosen}
}

// lendSpareTo lends a slot to entry if one is spare.
func (l *Lender) lendSpareTo(entry string) {
	if l.spare() > 0 {
		l.ensureLoan(entry).granted++
	}
}

// lendFreed lends a slot that a task of entry has freed. It returns the borrower
// unless that is entry itself.
func (l *Lender) lendFreed(entry string) []string {
	if l.spare() <= 0 {
		return nil
	}
	to := l.chooseBorrower(entry)
	l.ensureLoan(to).granted++
	if to == entry {
		return nil
	}
	return []string{to}
}

// chooseBorrower returns the entry that the slot freed by a task of entry is lent
// to. That is entry itself, unless another entry has spent all its credits and
// needs the slot more: it has at least threshold waiting tasks while entry has
// none, or it holds less than its even share while entry holds that or more.
func (l *Lender) chooseBorrower(entry string) string {
	current := l.ensureLoan(entry)
	share := l.evenShare()
	chosen, leastHeld := entry, l.slots
	for _, id := range l.order {
		ln := l.loans[id]
		if id == entry || ln.outstanding() > 0 || ln.demand == 0 {
			continue
		}
		idle := current.demand == 0 && ln.demand >= l.threshold
		unfair := current.slotsHeld() >= share && ln.slotsHeld() < share
		if (idle || unfair) && ln.slotsHeld() < leastHeld {
			chosen, leastHeld = id, ln.slotsHeld()
		}
	}
	return chosen
}

// evenShare returns each entry's share of the slots, split among the entries
// with waiting tasks.
func (l *Lender) evenShare() int {
	n := 0
	for _, ln := range l.loans {
		if ln.demand > 0 {
			n++
		}
	}
	return max(1, l.slots/max(1, n))
}

// Ask records the demand of an entry that waits for credits, and lends it spare
// slots. If the entry still has no credit, Ask returns the entries from which
// unspent credits can be recalled.
func (l *Lender) Ask(entry string, demand int) []string {
	ln := l.ensureLoan(entry)
	ln.demand = demand
	for l.spare() > 0 && ln.outstanding() < demand {
		ln.granted++
	}
	if ln.outstanding() > 0 {
		return nil
	}
	return l.holdersExcept(entry)
}

// holdersExcept returns the entries, other than entry, that hold unspent
// credits.
func (l *Lender) holdersExcept(entry string) (ids []string) {
	for _, id := range l.order {
		if id != entry && l.loans[id].outstanding() > 0 {
			ids = append(ids, id)
		}
	}
	return ids
}

// LendEvenShare lends spare slots to entry up to an even share among all entries, if
// entry holds slots already or no task is running.
func (l *Lender) LendEvenShare(entry string) {
	ln := l.ensureLoan(entry)
	if ln.slotsHeld() == 0 && l.running > 0 {
		return
	}
	share := (l.slots + len(l.loans) - 1) / len(l.loans)
	for l.spare() > 0 && ln.outstanding() < share {
		ln.granted++
	}
}

// Return records that entry has returned a total of n credits in an epoch, and
// its demand.
func (l *Lender) Return(entry string, epoch, n uint64, demand int) {
	ln := l.loans[entry]
	if ln == nil || ln.epoch != epoch {
		return
	}
	ln.demand = demand
	ln.returned = min(max(ln.returned, n), ln.granted-ln.spent)
}

// Revoke revokes all credits of an entry that is gone or out of contact.
func (l *Lender) Revoke(entry string) {
	if l.loans[entry] == nil {
		return
	}
	delete(l.loans, entry)
	for i, id := range l.order {
		if id == entry {
			l.order = append(l.order[:i], l.order[i+1:]...)
			return
		}
	}
}
