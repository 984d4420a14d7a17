package credit

// Purse is what one entry holds of one agent's credits. The zero Purse is
// empty.
type Purse struct {
	offer    Offer
	spent    uint64
	returned uint64
}

// Apply takes over the state of the loan from a message of the agent. Older
// states are ignored.
func (p *Purse) Apply(o Offer) {
	switch {
	case o.Epoch > p.offer.Epoch:
		*p = Purse{offer: o}
	case o.Epoch == p.offer.Epoch:
		p.offer.Granted = max(p.offer.Granted, o.Granted)
	}
}

// Available returns the number of credits that can be spent.
func (p *Purse) Available() int {
	used := p.spent + p.returned
	if used >= p.offer.Granted {
		return 0
	}
	return int(p.offer.Granted - used)
}

// Spend takes one credit and returns the epoch to send along.
func (p *Purse) Spend() (epoch uint64) {
	p.spent++
	return p.offer.Epoch
}

// Restore takes back a spent credit whose dispatch never left the entry.
func (p *Purse) Restore(epoch uint64) {
	if epoch == p.offer.Epoch && p.spent > 0 {
		p.spent--
	}
}

// GiveBack returns up to n credits and reports the epoch and the total that
// was given back in it.
func (p *Purse) GiveBack(n int) (epoch, total uint64) {
	p.returned += uint64(min(n, p.Available()))
	return p.offer.Epoch, p.returned
}
