package worker

import (
	"hash/maphash"
	"slices"
	"time"

	"masticbay/work"
)

// This file records what logs need to explain a run that the worker lists and that is not
// known here. No decision depends on it. Mostly the list was made before an end that has
// been processed since, as answers to polls overtake each other. Otherwise a start may have
// been carried out after its end was declared, while the task runs elsewhere.

// UnknownCause tells why a listed run is not known.
type UnknownCause string

// The causes are labels of metrics.
const (
	Overtaken     UnknownCause = "overtaken"     // the worker listed its end in a later list
	EndDeclared   UnknownCause = "endDeclared"   // its end was concluded, not listed
	EarlierWorker UnknownCause = "earlierWorker" // an earlier incarnation of the worker listed its end
	EarlierAgent  UnknownCause = "earlierAgent"  // this Guard has not ordered it, and orders of earlier agents are not fenced yet
	NotOrdered    UnknownCause = "notOrdered"    // this Guard has not ordered it, although earlier orders are fenced, or has forgotten it
)

// UnknownRun is a run that the worker lists, as running or as ended, and that is not known.
type UnknownRun struct {
	Run     work.Run
	Cause   UnknownCause
	End     work.End // empty while it runs
	Percent int
	Token   uint64        // of the poll
	Born    int64         // incarnation of the worker that lists it
	Clock   time.Duration // of the worker, which begins anew with its incarnation
	Current int           // number of the run of the task that is known here; 0 if there is none
	Listed  time.Duration // since it was first listed as an unknown run
	Past    *PastRun      // what was known of a run whose end was concluded; else nil
}

// PastRun is a run that was taken for ended here without an end that the worker listed.
type PastRun struct {
	Run       work.Run
	Home      string // that ordered it
	Born      int64  // incarnation of the worker when the start was sent
	Token     uint64 // of its start
	OrderedAt time.Time
	SentAt    time.Time
	EndedAt   time.Time
	End       work.End
	Reason    string
}

// Bounds of what is remembered.
const (
	maxListedEnds  = 1024
	maxPastRuns    = 512
	maxUnknownRuns = 256
)

// history remembers ended runs and unknown ones. The zero value is ready to use.
type history struct {
	listed   ring[listedEnd]
	past     ring[PastRun]
	unknown  map[work.Run]time.Time // when they were first listed
	reported []UnknownRun           // not taken yet
}

// listedEnd is an end that the worker listed. It holds no pointers, so that many cost the
// garbage collector nothing.
type listedEnd struct {
	run  uint64 // hash
	born int64  // incarnation of the worker
}

var runSeed = maphash.MakeSeed()

// ring holds the last elements that were added.
type ring[T any] struct {
	elements []T
	oldest   int // index once it is full
}

func (r *ring[T]) add(limit int, e T) {
	if len(r.elements) < limit {
		r.elements = append(r.elements, e)
		return
	}
	r.elements[r.oldest] = e
	r.oldest = (r.oldest + 1) % limit
}

// findPast returns what is remembered of a run whose end was concluded; nil if that is nothing.
// Unknown runs are rare, so there is no index.
func (h *history) findPast(r work.Run) *PastRun {
	for i := range h.past.elements {
		if p := h.past.elements[i]; p.Run == r {
			return &p
		}
	}
	return nil
}

// rememberEnd records the end of a run.
func (g *Guard) rememberEnd(now time.Time, r *run, end work.End, reason string, isListed bool) {
	if isListed {
		g.history.listed.add(maxListedEnds, listedEnd{maphash.Comparable(runSeed, r.start.Run), g.target.Born})
		return
	}
	g.history.past.add(maxPastRuns, PastRun{
		Run: r.start.Run, Home: r.entry, Born: r.born, Token: r.token, OrderedAt: r.orderedAt, SentAt: r.sentAt, EndedAt: now,
		End: end, Reason: reason,
	})
}

// explainUnknown returns why a listed run is not known, and what is remembered of it.
func (g *Guard) explainUnknown(r work.Run) (UnknownCause, *PastRun) {
	if past := g.history.findPast(r); past != nil {
		return EndDeclared, past
	}
	hash := maphash.Comparable(runSeed, r)
	i := slices.IndexFunc(g.history.listed.elements, func(e listedEnd) bool { return e.run == hash })
	switch {
	case i >= 0 && g.history.listed.elements[i].born == g.target.Born:
		return Overtaken, nil
	case i >= 0:
		return EarlierWorker, nil
	case !g.settledOnce:
		return EarlierAgent, nil
	}
	return NotOrdered, nil
}

// recordUnknown records that the worker lists an unknown run as running, and returns why it
// is unknown.
func (g *Guard) recordUnknown(now time.Time, s *Snapshot, r work.Run) UnknownCause {
	cause, past := g.explainUnknown(r)
	if cause != Overtaken {
		if _, ok := g.history.unknown[r]; ok || len(g.history.unknown) >= maxUnknownRuns {
			return cause
		}
		if g.history.unknown == nil {
			g.history.unknown = make(map[work.Run]time.Time)
		}
		g.history.unknown[r] = now
	}
	g.reportUnknown(s, UnknownRun{Run: r, Cause: cause, Percent: s.Running[r], Past: past})
	return cause
}

// recordUnknownEnd records that the worker lists the end of a run that is not known. An end
// that the lease explains is expected once the worker answers again, and so are ends from
// before this Guard.
func (g *Guard) recordUnknownEnd(now time.Time, s *Snapshot, e *Ended) {
	cause, past := g.explainUnknown(e.Run)
	listedAt, wasListed := g.history.unknown[e.Run]
	switch {
	case wasListed:
		delete(g.history.unknown, e.Run)
	case cause == EarlierAgent, past != nil && past.Reason == Unanswering:
		return
	default:
		listedAt = now
	}
	g.reportUnknown(s, UnknownRun{Run: e.Run, Cause: cause, End: e.End, Listed: now.Sub(listedAt), Past: past})
}

func (g *Guard) reportUnknown(s *Snapshot, u UnknownRun) {
	u.Token, u.Born, u.Clock = s.Token, g.target.Born, s.Clock
	if known, ok := g.runs[u.Run.Task]; ok {
		u.Current = known.start.Run.Number
	}
	g.history.reported = append(g.history.reported, u)
}

// TakeUnknown returns the unknown runs that were listed since the last call.
func (g *Guard) TakeUnknown() []UnknownRun {
	u := g.history.reported
	g.history.reported = nil
	return u
}

// UnansweredStarts returns the number of runs whose start is not answered, and that of runs that do not run
// and of which a start may still be carried out.
func (g *Guard) UnansweredStarts() (open, waiting int) {
	for _, r := range g.runs {
		switch r.phase {
		case ordered, unclear:
			open++
		case inTransit:
			waiting++
		}
	}
	return open, waiting
}
