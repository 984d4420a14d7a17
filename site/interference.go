package site

import (
	"maps"
	"slices"
	"time"

	"github.com/juju/errors"

	"masticbay/interference"
)

const (
	maxSentPairs = 16 // of a greeting
	// sentPairsExpiry is how long the pairs of a home are kept after its last greeting. A
	// new home follows within seconds.
	sentPairsExpiry = time.Minute
)

// sentPairs are the pairs of the last greeting of a home.
type sentPairs struct {
	pairs      []interference.Pair
	receivedAt time.Time
}

// recordPairs records the pairs that a home has sent, for the time when this entry becomes
// home. A greeting of an entry that is no home changes nothing, as it may just have ceased to
// be one. The caller holds mu.
func (e *Entry) recordPairs(g *GreetReply) {
	if g.Member.Term == 0 && !g.Member.Places {
		return
	}
	if err := validatePairs(g.Interference); err != nil {
		if !e.invalidPairsLogged {
			e.invalidPairsLogged = true
			e.log.Warn().Err(err).Str("entry", g.Member.Name).Msg("malformed pairs of interfering tasks ignored")
		}
		return
	}
	if len(g.Interference) == 0 {
		delete(e.sentPairs, g.Member.Address)
		return
	}
	e.expireSentPairs()
	e.sentPairs[g.Member.Address] = sentPairs{g.Interference, e.now()}
}

func (e *Entry) expireSentPairs() {
	maps.DeleteFunc(e.sentPairs, func(_ string, s sentPairs) bool { return e.now().Sub(s.receivedAt) > sentPairsExpiry })
}

// validatePairs checks the pairs that another process has sent.
func validatePairs(pairs []interference.Pair) error {
	if len(pairs) > maxSentPairs {
		return errors.NotValidf("list of %d pairs", len(pairs))
	}
	for _, p := range pairs {
		if !p.Valid() {
			return errors.NotValidf("pair with factor %v and confidence %v", p.Factor, p.Confidence)
		}
	}
	return nil
}

// importPairs gives the core the pairs of other homes if it has found none itself. The caller
// holds mu.
func (h *home) importPairs(now time.Time) {
	if h.core.NumInterferingPairs() > 0 {
		return
	}
	e := h.e
	e.mu.Lock()
	e.expireSentPairs()
	var pairs []interference.Pair
	for _, address := range slices.Sorted(maps.Keys(e.sentPairs)) {
		pairs = append(pairs, e.sentPairs[address].pairs...)
	}
	e.mu.Unlock()
	h.core.ImportPairs(now, pairs)
	h.deliverDecisions()
}
