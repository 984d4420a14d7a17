package credit

// Balance holds an entry's credits of one agent. The zero Balance is empty.
type Balance struct {
	offer    Offer
	spent    uint64
	returned uint64
}

// Apply updates the loan from a message of the agent. It ignores older states.
func (p *Balance) Apply(o Offer) {
	switch {
	case o.Epoch > p.offer.Epoch:
		*p = Balance{offer: o}
	case o.Epoch == p.offer.Epoch:
		p.offer.Granted = max(p.offer.Granted, o.Granted)
	}
}

// Available returns the number of credits that can be spent.
func (p *Balance) Available() int {
	used := p.spent + p.returned
	if used >= p.offer.Granted {
		return 0
	}
	return int(p.offer.Granted - used)
}

// Spend uses one credit and returns the epoch to send with the dispatch.
func (p *Balance) Spend() (epoch uint64) {
	p.spent++
	return p.offer.Epoch
}

// Refund refunds a spent credit whose dispatch was never sent.
func (p *Balance) Refund(epoch uint64) {
	if epoch == p.offer.Epoch && p.spent > 0 {
		p.spent--
	}
}

// Return gives up to n credits back to the agent. It returns the epoch and
// the total of the credits returned in it.
func (p *Balance) Return(n int) (epoch, total uint64) {
	p.returned += uint64(min(n, p.Available()))
	return p.offer.Epoch, p.returned
}
