package site

import (
	"context"
	"slices"
	"time"

	"masticbay/roster"
	"masticbay/wire"
)

// greetDuty is the loop that sends greetings: to the homes often, to the panel at
// longer intervals, and with each round of the panel to one other known entry, so that
// parts of a site that do not know each other merge. While no home is known it checks
// more often whether this entry is to become home.
func (e *Entry) greetDuty() {
	lastGreeted := make(map[string]time.Time)
	var lastOther time.Time
	var lag roster.Lag
	for {
		e.updateHome()
		now := e.now()
		due, rest, noHome := e.greetingsDue(now, lastGreeted)
		pause, otherInterval := greetInterval(len(e.knownEntries.all())), panelGreetInterval
		if noHome {
			pause, otherInterval = homePollInterval, homeGreetInterval
		}
		if now.Sub(lastOther) >= otherInterval {
			lastOther = now
			due = append(due, leastRecentlyGreeted(rest, lastGreeted, noHome)...)
		}
		for _, address := range due {
			lastGreeted[address] = now
			go e.greet(address)
		}
		select {
		case <-e.stop:
			return
		case <-time.After(pause):
		}
		e.setOverloaded(lag.Add(e.now(), e.now().Sub(now)-pause))
	}
}

// setOverloaded records whether this entry is overloaded. Another entry becomes home
// then if it is not.
func (e *Entry) setOverloaded(overloaded bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if overloaded != e.roster.Self(e.now()).Overloaded {
		e.log.Warn().Bool("overloaded", overloaded).Msg("overload changed")
		e.roster.SetOverloaded(overloaded)
	}
}

// greetInterval returns the interval between greetings of the home. It is longer on
// large sites, so that a home is greeted at most about 500 times a second.
func greetInterval(entries int) time.Duration {
	return min(max(homeGreetInterval, time.Duration(entries)*greetIntervalPerEntry), maxHomeGreetInterval)
}

// greetingsDue returns the entries to greet now, the known entries that need no
// regular greetings, and whether no home is known.
func (e *Entry) greetingsDue(now time.Time, lastGreeted map[string]time.Time) (due, rest []string, noHome bool) {
	_, ok := e.currentHome()
	// The others may start at the same time and not listen yet.
	isStarting := !ok && now.Sub(e.startedAt) <= 2*startupWait
	e.mu.Lock()
	panel := e.roster.Panel(now)
	homes := make(map[string]bool)
	for _, m := range e.roster.Homes(now) {
		homes[m.Address] = true
	}
	e.mu.Unlock()
	// The panel of other entries may include entries that this one does not know yet.
	panel = append(slices.Clone(panel), e.knownEntries.namedSince(now.Add(-panelNamedFor))...)
	for _, address := range union(e.knownEntries.all(), panel) {
		onPanel := slices.Contains(panel, address)
		elapsed := now.Sub(lastGreeted[address])
		often := (e.hasJobsAt(address) || onPanel && !ok) && (elapsed >= homeGreetInterval-homePollInterval || isStarting)
		switch {
		case address == e.node.Internal:
		case often, homes[address] && elapsed >= idleHomeGreetInterval-homeGreetInterval/2, onPanel && elapsed >= panelGreetInterval:
			due = append(due, address)
		case !onPanel:
			rest = append(rest, address)
		}
	}
	return due, rest, !ok
}

// union returns the addresses of both lists, each once.
func union(a, b []string) []string {
	all := slices.Clone(a)
	for _, address := range b {
		if !slices.Contains(all, address) {
			all = append(all, address)
		}
	}
	return all
}

// leastRecentlyGreeted returns the address that was greeted longest ago, or panelSize
// of them while no home is known.
func leastRecentlyGreeted(addresses []string, lastGreeted map[string]time.Time, noHome bool) []string {
	slices.SortStableFunc(addresses, func(a, b string) int { return lastGreeted[a].Compare(lastGreeted[b]) })
	if noHome {
		return addresses[:min(panelSize, len(addresses))]
	}
	return addresses[:min(1, len(addresses))]
}

// hasJobsAt reports whether this entry has jobs at a home.
func (e *Entry) hasJobsAt(address string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.jobsAt[address] > 0
}

// greetAll greets all entries at once.
func (e *Entry) greetAll() {
	for _, address := range e.knownEntries.all() {
		if address != e.node.Internal {
			go e.greet(address)
		}
	}
}

// greet greets an entry, once more on a new connection if the present one is silent.
// The roster detects entries that are out of contact.
func (e *Entry) greet(address string) {
	if !e.greetOnce(address) && e.resetIfUnanswered(address) {
		e.greetOnce(address)
	}
}

// greetOnce greets an entry and reports whether it answered.
func (e *Entry) greetOnce(address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), greetAnswerTimeout)
	defer cancel()
	sentAt := e.now()
	args := e.greeting(address)
	args.Panel = nil
	rep, err := wire.Call[GreetArgs, GreetReply](ctx, e.peer(address), entryGreet, &args)
	if err != nil {
		return false
	}
	e.greetingAnswered(address)
	e.takeGreeting(sentAt, rep)
	return true
}

// peerStamp is the stamp in the latest greeting of another entry.
type peerStamp struct {
	latest messageOrder
	stamp  time.Duration
}

// peer is the connection to another entry.
type peer struct {
	client       *wire.Client
	lastAnswered time.Time // when it last answered a greeting, or the connection was opened or reset
}

// peer returns the client of another entry.
func (e *Entry) peer(address string) *wire.Client {
	e.mu.Lock()
	defer e.mu.Unlock()
	p, ok := e.peers[address]
	if !ok {
		p = &peer{client: wire.NewClient(address, rpcOptions(e.network)), lastAnswered: e.now()}
		e.peers[address] = p
	}
	return p.client
}

func (e *Entry) greetingAnswered(address string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.peers[address].lastAnswered = e.now()
}

// resetIfUnanswered closes a connection on which no greeting was answered for
// silentConnTimeout, and reports whether it did. A connection may be dead while new
// ones work.
func (e *Entry) resetIfUnanswered(address string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	p, now := e.peers[address], e.now()
	if now.Sub(p.lastAnswered) <= silentConnTimeout {
		return false
	}
	p.lastAnswered = now
	p.client.Reset()
	return true
}
