package entry

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"strconv"
	"time"

	"masticbay/dispatch"
	"masticbay/member"
	"masticbay/web"
	"masticbay/wire"
)

// StatusReply is the reply of GET /v1/status.
type StatusReply struct {
	Entry         string            `json:"entry"`
	DataCentre    string            `json:"dataCentre"`
	Settled       bool              `json:"settled"` // jobs whose home is this entry run without claims
	Ready         bool              `json:"ready"`   // jobs that are not idempotent run here
	Stopping      bool              `json:"stopping"`
	OpenJobs      int               `json:"openJobs"`
	TableRevision uint64            `json:"tableRevision"`
	Registry      uint64            `json:"registryRevision"`
	Messages      uint64            `json:"messagesSent"`
	Bytes         uint64            `json:"bytesSent"`
	Entries       []member.Entry    `json:"entries"`
	Lost          []member.Entry    `json:"lost,omitempty"` // no longer listed, may have run jobs
	Agents        []AgentStatus     `json:"agents"`
	Queues        []QueueStatus     `json:"queues"`
	Counters      dispatch.Counters `json:"counters"`
}

// AgentStatus describes one agent.
type AgentStatus struct {
	ID            string  `json:"id"`
	Target        string  `json:"target"`
	Service       string  `json:"service"`
	DataCentre    string  `json:"dataCentre"`
	State         string  `json:"state"`
	Reason        string  `json:"why,omitempty"`
	Slots         int     `json:"slots"`
	Running       int     `json:"running"`
	Credits       int     `json:"credits"`
	MeanMillis    float64 `json:"meanMillis"`
	TableRevision uint64  `json:"tableRevision"`
}

// QueueStatus describes the queue of one service.
type QueueStatus struct {
	Service    string  `json:"service"`
	Waiting    int     `json:"waiting"`
	Jobs       int     `json:"jobs"`
	Running    int     `json:"running"`
	MeanMillis float64 `json:"meanMillis"`
}

func (e *Entry) handleStatus(w http.ResponseWriter, r *http.Request) {
	st, err := e.Status(r.Context())
	if err != nil {
		fail(w, err)
		return
	}
	web.Reply(w, http.StatusOK, st)
}

// Status returns the state of the entry and of the members it knows.
func (e *Entry) Status(ctx context.Context) (st StatusReply, err error) {
	return callCore(ctx, e, e.describe)
}

// describe builds the reply of Status. It runs in the core loop.
func (e *Entry) describe(now time.Time) StatusReply {
	reg := e.core.members.Registry()
	st := StatusReply{
		Entry:         e.id,
		DataCentre:    e.cfg.Common.DataCentre,
		Settled:       e.core.members.Settled(now),
		Ready:         e.core.members.MayRun(now),
		Stopping:      e.stopping.Load(),
		OpenJobs:      e.core.dispatch.Open(),
		TableRevision: e.rows.Current().Revision(),
		Registry:      reg.Revision,
		Messages:      e.messages.Total(),
		Bytes:         e.messages.Bytes(),
		Entries:       reg.Entries,
		Lost:          reg.Lost,
		Counters:      e.core.dispatch.Counters(),
	}
	for _, a := range e.core.dispatch.Agents() {
		st.Agents = append(st.Agents, e.describeAgent(&a))
	}
	for _, q := range e.core.dispatch.Queues() {
		st.Queues = append(st.Queues, QueueStatus{q.Service, q.Waiting, q.Jobs, q.Running, millis(q.Mean)})
	}
	slices.SortFunc(st.Agents, func(a, b AgentStatus) int { return cmp.Compare(a.Target+a.ID, b.Target+b.ID) })
	slices.SortFunc(st.Queues, func(a, b QueueStatus) int { return cmp.Compare(a.Service, b.Service) })
	return st
}

func (e *Entry) describeAgent(a *dispatch.AgentState) AgentStatus {
	s := AgentStatus{
		ID: a.ID, Service: a.Service, DataCentre: a.DataCentre, Slots: a.Status.Slots,
		Running: a.Status.Running, Credits: a.Credits, MeanMillis: millis(a.Mean),
		TableRevision: a.Status.Table,
	}
	if l := e.core.agents[a.ID]; l != nil {
		s.Target = l.info.Target
	}
	s.State, s.Reason = agentState(a)
	return s
}

func agentState(a *dispatch.AgentState) (state, reason string) {
	switch {
	case !a.Reachable:
		return "unreachable", "its last call failed"
	case a.Quarantined:
		return "quarantined", "its last tasks all failed while other targets of the service succeeded"
	case a.Status.Draining:
		return "draining", "its row says so, its target is silent, or it is stopping"
	case a.Status.Listed == 0:
		return "unlisted", "not in the registry yet: idempotent work only"
	case a.Status.Young:
		return "young", "within a window of its start: claimed or idempotent work only"
	}
	return "ready", ""
}

func millis(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1000
}

func (e *Entry) handleHealth(w http.ResponseWriter, _ *http.Request) {
	if e.stopping.Load() {
		http.Error(w, "stopping", http.StatusServiceUnavailable)
		return
	}
	web.Reply(w, http.StatusOK, "ok")
}

// ForceReply is the reply of GET /v1/force?revision=N: how many processes apply
// that revision of the table or a newer one.
type ForceReply struct {
	Revision uint64   `json:"revision"`
	InForce  int      `json:"inForce"`
	Known    int      `json:"known"`
	Missing  []string `json:"missing,omitempty"`
}

// handleForce asks every known process for the table revision that it applies.
func (e *Entry) handleForce(w http.ResponseWriter, r *http.Request) {
	want, err := strconv.ParseUint(r.URL.Query().Get("revision"), 10, 64)
	if err != nil {
		http.Error(w, "revision: want a number", http.StatusBadRequest)
		return
	}
	rep := ForceReply{Revision: want}
	for id, rev := range e.tableRevisions(r.Context()) {
		rep.Known++
		if rev >= want {
			rep.InForce++
		} else {
			rep.Missing = append(rep.Missing, id)
		}
	}
	slices.Sort(rep.Missing)
	web.Reply(w, http.StatusOK, rep)
}

// tableRevisions returns the table revision in force at each known process, or 0
// where it is unknown.
func (e *Entry) tableRevisions(ctx context.Context) map[string]uint64 {
	revs, err := callCore(ctx, e, func(time.Time) map[string]uint64 {
		revs := map[string]uint64{e.id: e.rows.Current().Revision()}
		for _, p := range e.core.members.Registry().Entries {
			if p.ID != e.id {
				revs[p.ID] = 0
			}
		}
		for _, a := range e.core.dispatch.Agents() {
			if a.Reachable {
				revs[a.ID] = a.Status.Table
			}
		}
		return revs
	})
	if err != nil {
		return nil
	}
	for _, c := range e.otherClients() {
		addPeerRevisions(ctx, c, revs)
	}
	return revs
}

func addPeerRevisions(ctx context.Context, c *wire.Client, revs map[string]uint64) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	args := wire.RevisionsArgs{}
	rep, err := wire.Call[wire.RevisionsArgs, wire.RevisionsReply](ctx, c, wire.EntryRevisions, &args)
	if err != nil {
		return
	}
	for id, rev := range rep.Table {
		revs[id] = max(revs[id], rev)
	}
}
