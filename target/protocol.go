// Package target defines the protocol between an agent and the target beside it,
// and implements a stand-in for a target.
//
// # Model
//
// A target announces itself to the agent on its VM every second, with its name,
// its service, its address and its slots. Announcements are numbered, since a late
// one must not bring back a target that has announced that it leaves. The agent
// starts a task by a POST of the payload to the target's address. A reply with
// status 200 carries the result, as JSON; any other status means that the task ran
// and failed.
//
// The run times of the stand-in are log-normal. It keeps a journal of the tasks
// that it started, which tests compare with the answers to callers.
//
// # Usage
//
//	srv, err := target.Start(target.Config{Address: addr, Slots: 8, ...})
//	defer srv.Close()
package target

import (
	"masticbay/job"
)

// AnnouncePath is the path at the agent to which a target sends announcements.
const AnnouncePath = "/v1/target"

// RunPath is the path at the target to which an agent sends tasks.
const RunPath = "/v1/run"

// The headers that name the task of a run request.
const (
	KeyHeader   = "X-Masticbay-Key"
	RerunHeader = "X-Masticbay-Rerun"
	IndexHeader = "X-Masticbay-Index"
)

// Announcement is the message by which a target registers with its agent.
type Announcement struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	Address string `json:"address"` // IP number and port
	Slots   int    `json:"slots"`
	Leaving bool   `json:"leaving"`

	// Life identifies the incarnation of the target, and Seq rises with each of its
	// announcements, so that the agent detects reordered ones. If Life is empty,
	// announcements count in the order of arrival.
	Life string `json:"life,omitempty"`
	Seq  uint64 `json:"seq,omitempty"`
}

// SentAfter reports whether a was sent after b. It is also true if their order
// is unknown, because Life is empty or differs.
func (a *Announcement) SentAfter(b *Announcement) bool {
	return a.Life == "" || a.Life != b.Life || a.Seq > b.Seq
}

const maxSlots = 10_000

// Check returns a *job.ValueError for the first value that is not allowed.
func (a *Announcement) Check() error {
	switch {
	case !job.ValidName(a.Name):
		return &job.ValueError{Field: "name", Value: a.Name, Allowed: job.AllowedName}
	case !job.ValidName(a.Service):
		return &job.ValueError{Field: "service", Value: a.Service, Allowed: job.AllowedName}
	case a.Address == "":
		return &job.ValueError{Field: "address", Allowed: "an IP number and a port"}
	case a.Slots < 1 || a.Slots > maxSlots:
		return &job.ValueError{Field: "slots", Value: "", Allowed: "1 to 10000"}
	}
	return nil
}
