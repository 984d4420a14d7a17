// Package member tracks the entries and agents of the system and decides which
// entry may run a job. It has no coordination service of its own.
//
// # Model
//
// The Registry is one document in the platform's key-value service. It lists
// the entries and agents that the safety rules count, and its revision grows
// with each change. It is written when a process joins, leaves with a handover,
// or has been out of contact for a retention window; never for a job. Between
// writes the entries pass it on in messages that they exchange anyway, so that
// an outage of the service delays joins and nothing else.
//
// The home of a job, the entry that coordinates it, is the listed entry that
// wins the rendezvous hash of the job's home name, which the service and the key
// determine. An entry may run a job without a claim only if it was the job's
// home in every registry of the last window, and if every listed peer has
// confirmed one of these registries within the window; View decides this. In all
// other cases the entry claims the job first (package claim). The crash of an
// entry changes no home until the entry is removed from the list; then only the
// keys of that entry move.
//
// Registry values are immutable once shared. View is not safe for concurrent
// use.
//
// # Usage
//
//	agent := member.Agent{ID: id, Address: addr, Service: svc}
//	next, changed := reg.With([]member.Change{member.AddAgent{Agent: agent}})
//	home, _ := next.Home(name)
//	claim := view.MustClaim(now, name)
package member

import (
	"cmp"
	"encoding/json"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
)

// RegistryKey is the registry's key in the key-value service.
const RegistryKey = "masticbay/registry"

// Entry is a listed entry.
type Entry struct {
	ID         string `json:"id"`      // incarnation
	Address    string `json:"address"` // of net/rpc
	HTTP       string `json:"http"`
	DataCentre string `json:"dataCentre"`
}

// Agent is a listed agent.
type Agent struct {
	ID         string `json:"id"` // incarnation
	Address    string `json:"address"`
	Service    string `json:"service"`
	Target     string `json:"target"`
	DataCentre string `json:"dataCentre"`
	Joined     uint64 `json:"joined"` // revision that first listed the agent
	Suspended  bool   `json:"suspended,omitempty"`
}

// Successor records which agent holds the records of one that has left.
type Successor struct {
	Agent string `json:"agent"` // incarnation that has left
	Heir  string `json:"heir"`  // successor: the incarnation that holds its records
}

// Registry is the list of members as of one revision. Lost holds the entries
// that were removed without a handover: tasks that they dispatched may still
// run, and only the agents know of these.
type Registry struct {
	Revision   uint64      `json:"revision"`
	Entries    []Entry     `json:"entries"`
	Lost       []Entry     `json:"lost,omitempty"`
	Agents     []Agent     `json:"agents"`
	Successors []Successor `json:"successors"`
}

// Decode parses the registry's document.
func Decode(value []byte) (r Registry, err error) {
	defer func() { err = errors.Annotate(err, "reading the registry") }()
	if err := json.Unmarshal(value, &r); err != nil {
		return Registry{}, err
	}
	if r.Revision == 0 || r.Revision > maxRevision {
		return Registry{}, errors.NotValidf("revision %d", r.Revision)
	}
	return r, nil
}

// maxRevision is above the revision of any registry, so that later ones do not overflow.
const maxRevision = 1 << 48

// Encode returns the registry's document.
func (r *Registry) Encode() ([]byte, error) {
	return json.Marshal(r)
}

// Entry returns the listed entry with an ID.
func (r *Registry) Entry(id string) (Entry, bool) {
	i := slices.IndexFunc(r.Entries, func(e Entry) bool { return e.ID == id })
	if i < 0 {
		return Entry{}, false
	}
	return r.Entries[i], true
}

// Agent returns the listed agent with an ID.
func (r *Registry) Agent(id string) (Agent, bool) {
	i := slices.IndexFunc(r.Agents, func(a Agent) bool { return a.ID == id })
	if i < 0 {
		return Agent{}, false
	}
	return r.Agents[i], true
}

// Heir returns the listed agent that holds the records of one that has left. It
// follows the chain of successors.
func (r *Registry) Heir(id string) (string, bool) {
	for range r.Successors {
		i := slices.IndexFunc(r.Successors, func(s Successor) bool { return s.Agent == id })
		if i < 0 {
			return "", false
		}
		id = r.Successors[i].Heir
		if _, listed := r.Agent(id); listed {
			return id, true
		}
	}
	return "", false
}

// Change is one edit of the registry. Apply reports whether it changed r.
type Change interface {
	Apply(r *Registry) bool
}

// With returns the registry after changes, with the next revision, and reports
// whether they changed anything.
func (r *Registry) With(changes []Change) (Registry, bool) {
	next := Registry{
		Revision:   r.Revision + 1,
		Entries:    slices.Clone(r.Entries),
		Lost:       slices.Clone(r.Lost),
		Agents:     slices.Clone(r.Agents),
		Successors: slices.Clone(r.Successors),
	}
	changed := false
	for _, c := range changes {
		if c.Apply(&next) {
			changed = true
		}
	}
	return next, changed
}

// AddEntry lists an entry.
type AddEntry struct{ Entry Entry }

// Apply implements Change.
func (c AddEntry) Apply(r *Registry) bool {
	if _, ok := r.Entry(c.Entry.ID); ok {
		return false
	}
	r.Lost = withoutEntry(r.Lost, c.Entry.ID)
	r.Entries = append(r.Entries, c.Entry)
	return true
}

// withoutEntry removes the entry with an ID from es.
func withoutEntry(es []Entry, id string) []Entry {
	return slices.DeleteFunc(es, func(e Entry) bool { return e.ID == id })
}

// RemoveEntry removes an entry that has handed over its records of jobs.
type RemoveEntry struct{ ID string }

// Apply implements Change.
func (c RemoveEntry) Apply(r *Registry) bool {
	n := len(r.Entries) + len(r.Lost)
	r.Entries = withoutEntry(r.Entries, c.ID)
	r.Lost = withoutEntry(r.Lost, c.ID)
	return len(r.Entries)+len(r.Lost) < n
}

// MarkEntryLost moves an entry that has been out of contact to the lost ones. It
// may have run jobs until now.
type MarkEntryLost struct{ ID string }

// Apply implements Change.
func (c MarkEntryLost) Apply(r *Registry) bool {
	e, ok := r.Entry(c.ID)
	if !ok {
		return false
	}
	r.Entries = withoutEntry(r.Entries, c.ID)
	r.Lost = append(r.Lost, e)
	return true
}

// ExpireEntry removes a lost entry whose dispatches can no longer have effects.
type ExpireEntry struct{ ID string }

// Apply implements Change.
func (c ExpireEntry) Apply(r *Registry) bool {
	n := len(r.Lost)
	r.Lost = withoutEntry(r.Lost, c.ID)
	return len(r.Lost) < n
}

// AddAgent lists an agent, with the new revision as the one it joined at.
type AddAgent struct{ Agent Agent }

// Apply implements Change.
func (c AddAgent) Apply(r *Registry) bool {
	if _, ok := r.Agent(c.Agent.ID); ok {
		return false
	}
	c.Agent.Joined = r.Revision
	r.Agents = append(r.Agents, c.Agent)
	return true
}

// SuspendAgent suspends an agent that can not be reached, or ends its
// suspension. A suspended agent gets no new work, but claims still ask it. It
// may be removed only after it has been suspended for a window: until then an
// entry that does not know of the suspension may have started tasks there.
type SuspendAgent struct {
	ID string
	On bool
}

// Apply implements Change.
func (c SuspendAgent) Apply(r *Registry) bool {
	for i := range r.Agents {
		if a := &r.Agents[i]; a.ID == c.ID && a.Suspended != c.On {
			a.Suspended = c.On
			return true
		}
	}
	return false
}

// RemoveAgent removes an agent. Heir is the incarnation that took over its
// records; it is empty if the records are lost.
type RemoveAgent struct{ ID, Heir string }

// maxSuccessors bounds the list of successors.
const maxSuccessors = 1000

// Apply implements Change.
func (c RemoveAgent) Apply(r *Registry) bool {
	n := len(r.Agents)
	r.Agents = slices.DeleteFunc(r.Agents, func(a Agent) bool { return a.ID == c.ID })
	if len(r.Agents) == n {
		return false
	}
	if c.Heir != "" {
		r.Successors = append(r.Successors, Successor{Agent: c.ID, Heir: c.Heir})
		r.Successors = r.Successors[max(0, len(r.Successors)-maxSuccessors):]
	}
	return true
}

// Home returns the home of the jobs with a home name: the listed entry with the
// highest score. It reports false if no entry is listed.
func (r *Registry) Home(name string) (home Entry, ok bool) {
	var best uint64
	for _, e := range r.Entries {
		if score := Score(e.ID, name); !ok || score > best {
			home, best, ok = e, score, true
		}
	}
	return home, ok
}

// Rank returns the entries by descending score for a name, so the home comes
// first. An entry that leaves does not change the order of the others.
func (r *Registry) Rank(name string) []Entry {
	es := slices.Clone(r.Entries)
	slices.SortFunc(es, func(a, b Entry) int {
		return cmp.Compare(Score(b.ID, name), Score(a.ID, name))
	})
	return es
}

// Score is the rendezvous hash of a member and a name.
func Score(id, name string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(id)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(name)
	return d.Sum64()
}
