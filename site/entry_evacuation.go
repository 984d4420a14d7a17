package site

import (
	"context"
	"time"

	"masticbay/evacuation"
	"masticbay/wire"
)

// startEvacuations starts the loops that follow the evacuated data centres.
func (e *Entry) startEvacuations() {
	if !e.evacuations.isActive {
		return
	}
	e.evacuations.releaseLater()
	go e.evacuations.watchDuty(e.stop, configWatchTimeout, homeEvacuationReadInterval, configRetryInterval, maxConfigRetryInterval)
	go e.evacuationReadDuty()
}

// evacuationReadDuty is the loop that reads the evacuated data centres at intervals, since a
// watch may miss a change; see configReadDuty. The home reads often, and the others learn of
// a change from its greetings.
func (e *Entry) evacuationReadDuty() {
	lastRead := e.now()
	for {
		select {
		case <-e.stop:
			return
		case <-time.After(evacuationReadCheck):
		}
		interval := otherReadInterval
		if e.IsHome() {
			interval = homeEvacuationReadInterval
		}
		if e.now().Sub(lastRead) < interval {
			continue
		}
		lastRead = e.now()
		if err := e.evacuations.read(context.Background()); err != nil {
			e.log.Debug().Err(err).Msg("evacuated data centres not read")
		}
	}
}

// setEvacuated makes the home of this entry obey a set of evacuated data centres, and tells
// the other homes at once.
func (e *Entry) setEvacuated(s evacuation.Set) {
	e.metrics.evacuated.Update(float64(len(s.DataCentres)))
	e.home.setEvacuated(s)
	for _, m := range e.homes() {
		if m.Life != e.life {
			go e.greet(m.Address)
		}
	}
}

// setEvacuated passes the evacuated data centres to the core and to all agents.
func (h *home) setEvacuated(s evacuation.Set) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return
	}
	h.core.SetEvacuated(h.e.now(), s)
	h.deliverDecisions()
	h.syncLinks()
}

// fetchEvacuated fetches the set of another entry, which has a newer one.
func (e *Entry) fetchEvacuated(address string) {
	e.mu.Lock()
	isFetching := e.fetchingEvacuated[address]
	e.fetchingEvacuated[address] = true
	e.mu.Unlock()
	if isFetching {
		return
	}
	defer func() {
		e.mu.Lock()
		delete(e.fetchingEvacuated, address)
		e.mu.Unlock()
	}()
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	rep, err := wire.Call[EvacuatedArgs, EvacuatedReply](ctx, e.peer(address), entryEvacuated, &EvacuatedArgs{})
	if err != nil {
		e.log.Warn().Err(err).Str("entry", address).Msg("evacuated data centres not fetched")
		return
	}
	e.evacuations.take(rep.Set, "entry "+address)
}

// Evacuated returns the evacuated data centres; no revision if they are not known.
func (m *entryMethods) Evacuated(_ *EvacuatedArgs, reply *EvacuatedReply) error {
	reply.Set = m.e.evacuations.set()
	return nil
}
