// Package target holds the protocol between an agent and the target beside it,
// and a stand-in of a target.
//
// # Model
//
// A target announces itself to the agent on its VM every second: its name, its
// service, its address and its slots. Announcements are numbered, since one that
// is late must not bring back a target that has said that it leaves. The agent starts a task by a POST of the
// payload to the target's address. The status 200 carries the result, as JSON;
// any other status means that the task ran and failed.
//
// The stand-in runs tasks for log-normal times and keeps a journal of what it
// started: tests take their verdicts from it.
//
// # Usage
//
//	srv, err := target.Start(target.Config{Address: addr, Slots: 8, ...})
//	defer srv.Close()
package target

import (
	"masticbay/job"
)

// AnnouncePath is where a target announces itself to its agent.
const AnnouncePath = "/v1/target"

// RunPath is where an agent starts tasks.
const RunPath = "/v1/run"

// The headers that name the task of a run request.
const (
	KeyHeader   = "X-Masticbay-Key"
	RerunHeader = "X-Masticbay-Rerun"
	IndexHeader = "X-Masticbay-Index"
)

// Announcement is what a target tells its agent.
type Announcement struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	Address string `json:"address"` // IP number and port
	Slots   int    `json:"slots"`
	Leaving bool   `json:"leaving"`

	// Life tells the lives of a target apart, and Seq rises with each
	// announcement of one, so that those that were overtaken are known. A target
	// that leaves Life empty has its announcements taken in the order of arrival.
	Life string `json:"life,omitempty"`
	Seq  uint64 `json:"seq,omitempty"`
}

// Overtakes reports whether a was sent after b, as far as they tell.
func (a *Announcement) Overtakes(b *Announcement) bool {
	return a.Life == "" || a.Life != b.Life || a.Seq > b.Seq
}

const maxSlots = 10_000

// Check reports the first value that is not allowed, as a *job.ValueError.
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
