package entry

import (
	"time"

	"masticbay/dispatch"
	"masticbay/member"
	"masticbay/quota"
	"masticbay/table"
	"masticbay/wire"
)

// quotaState holds the entry's part in sharing team limits among entries.
type quotaState struct {
	lender      quota.Lender
	holder      quota.Holder
	peerWants   map[string]map[string]int // as last reported, by peer and team
	lastRequest time.Time                 // when peers were last asked for a larger share
}

// quotaRequestInterval is the minimum time between requests for a larger share.
const quotaRequestInterval = 100 * time.Millisecond

// lenderOf returns the entry that lends the limit of a team: the first entry of
// the team's ranking that is in contact.
func (e *Entry) lenderOf(team string) string {
	outOfContact := *e.outOfContact.Load()
	for _, p := range e.core.members.Registry().Rank("team/" + team) {
		if !outOfContact[p.ID] {
			return p.ID
		}
	}
	return e.id
}

// wantsFrom returns the number of tasks that this entry wants to run of each
// team whose limit a peer lends.
func (e *Entry) wantsFrom(peer string) map[string]int {
	wants := make(map[string]int)
	for _, r := range e.rows.Current().OfKind(table.Team) {
		if r.Limit > 0 && e.lenderOf(r.Name) == peer {
			wants[r.Name] = e.core.dispatch.Want(r.Name)
		}
	}
	return wants
}

// grantsTo lends to a peer the shares that it wants of the teams whose limits
// this entry lends.
func (e *Entry) grantsTo(now time.Time, peer string, wants map[string]int) map[string]int {
	grants := make(map[string]int)
	for team, want := range wants {
		r, ok := e.rows.Current().Row(table.Team, team)
		if ok && r.Limit > 0 && e.lenderOf(team) == e.id {
			grants[team] = e.core.quota.lender.Lend(now, team, peer, e.needOf(r, want))
		}
	}
	return grants
}

func (e *Entry) needOf(r table.Row, want int) quota.Need {
	return quota.Need{Want: want, Limit: r.Limit, Entries: len(e.core.members.Registry().Entries)}
}

// quotaMessageFor returns the wants and grants for the peer at an address.
func (e *Entry) quotaMessageFor(address string) wire.Quota {
	for _, p := range e.core.members.Registry().Entries {
		if p.Address == address {
			return wire.Quota{Wants: e.wantsFrom(p.ID), Grants: e.grantsTo(e.clock.Now(), p.ID, e.core.quota.peerWants[p.ID])}
		}
	}
	return wire.Quota{}
}

// takeQuota records what a peer wants and applies its grants.
func (e *Entry) takeQuota(now time.Time, peer string, q *wire.Quota) {
	e.core.quota.peerWants[peer] = q.Wants
	for team, amount := range q.Grants {
		e.core.quota.holder.Apply(now, team, amount)
	}
	e.refreshQuota(now)
}

// refreshQuota lends to this entry itself, and sets the limits of teams to what
// it holds.
func (e *Entry) refreshQuota(now time.Time) {
	rows := e.rows.Current().OfKind(table.Team)
	for _, r := range rows {
		if r.Limit > 0 && e.lenderOf(r.Name) == e.id {
			amount := e.core.quota.lender.Lend(now, r.Name, e.id, e.needOf(r, e.core.dispatch.Want(r.Name)))
			e.core.quota.holder.Apply(now, r.Name, amount)
		}
	}
	if len(rows) > 0 {
		e.applyLimits(now)
	}
}

// requestQuota asks the peers for a larger share, at most once in every
// quotaRequestInterval.
func (e *Entry) requestQuota(now time.Time) {
	if now.Sub(e.core.quota.lastRequest) < quotaRequestInterval {
		return
	}
	e.core.quota.lastRequest = now
	e.refreshQuota(now)
	notify(e.peerWakeup)
}

// teamShares returns the share of each team at this entry.
func (e *Entry) teamShares(now time.Time, rows []table.Row) map[string]dispatch.Share {
	entries := len(e.core.members.Registry().Entries)
	shares := make(map[string]dispatch.Share)
	for _, r := range rows {
		share := dispatch.Share{Weight: r.Weight, Limited: r.Limit > 0, Closed: r.Limit < 0}
		if share.Limited {
			share.Cap = e.core.quota.holder.Limit(now, r.Name, r.Limit, max(1, entries))
		}
		shares[r.Name] = share
	}
	return shares
}

// serviceShares returns the share of each service at this entry. The limit of a
// service is divided among its homes, each of which is the first entry of its
// ranking that is in contact.
func (e *Entry) serviceShares(rows []table.Row) map[string]dispatch.Share {
	shares := make(map[string]dispatch.Share)
	for _, r := range rows {
		share := dispatch.Share{Weight: r.Weight, Limited: r.Limit > 0, Closed: r.Limit < 0}
		if share.Limited {
			share.Cap = e.serviceCap(r)
		}
		shares[r.Name] = share
	}
	return shares
}

// serviceCap returns the part of a service's limit that falls to this entry.
func (e *Entry) serviceCap(r table.Row) (n int) {
	homes := e.cfg.Policy.Homes
	outOfContact := *e.outOfContact.Load()
	reg := e.core.members.Registry()
	for i := range homes {
		part := r.Limit / homes
		if i < r.Limit%homes {
			part++
		}
		if firstInContact(reg.Rank(e.cfg.Policy.HomeOf(r.Name, i)), outOfContact) == e.id {
			n += part
		}
	}
	return n
}

func firstInContact(ranked []member.Entry, outOfContact map[string]bool) string {
	for _, p := range ranked {
		if !outOfContact[p.ID] {
			return p.ID
		}
	}
	return ""
}
