package setting

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"masticbay/job"
)

// Common holds the options that entries and agents share.
type Common struct {
	DataCentre string  `toml:"dataCentre" default:"local" format:"name" doc:"data centre of this process"`
	LogLevel   string  `toml:"logLevel" default:"info" oneof:"debug info warn error" doc:"lowest level that is logged"`
	Traces     string  `toml:"traces" default:"" doc:"destination of traces: a file path or the http:// URL of an OTLP collector; empty to export none"`
	TraceRatio float64 `toml:"traceRatio" default:"1" min:"0" max:"1" doc:"share of jobs that are traced"`
}

// Policy holds the options that affect placement and outcomes. All entries and
// agents of an installation must have the same values.
type Policy struct {
	Preset               string   `toml:"preset" default:"response" oneof:"response messages" doc:"what to optimise for: response time or few wasted messages"`
	Window               Duration `toml:"window" default:"1m" min:"1s" max:"1h" doc:"how long after its deadline a job may be resubmitted under its key"`
	UnclearLimit         Duration `toml:"unclearLimit" default:"10s" min:"100ms" max:"10m" doc:"longest wait to learn whether a task started whose agent is unreachable"`
	ClaimLimit           Duration `toml:"claimLimit" default:"3s" min:"50ms" max:"1m" doc:"time limit of a claim for a job that is not idempotent"`
	IdempotentClaimLimit Duration `toml:"shortClaim" default:"300ms" min:"10ms" max:"1m" doc:"time limit of a claim for an idempotent job"`
	StampMaxAge          Duration `toml:"stampLife" default:"30s" min:"1s" max:"10m" doc:"longest time between an agent's last message and the arrival of a dispatch that relies on it"`
	HeartbeatInterval    Duration `toml:"heartbeat" default:"5s" min:"50ms" max:"1m" doc:"interval at which an idle agent sends heartbeats to an entry"`
	PeerInterval         Duration `toml:"peerInterval" default:"2s" min:"20ms" max:"1m" doc:"interval between messages from one entry to another"`
	Homes                int      `toml:"homes" default:"1" min:"1" max:"64" doc:"number of entries over which the jobs of one service are spread by key"`
	EntrySubset          int      `toml:"entrySubset" default:"8" min:"1" max:"64" doc:"number of entries to which one agent lends credits"`
}

// Entry holds the settings of an entry.
type Entry struct {
	Role     string   `toml:"role" default:"entry" oneof:"entry" doc:"kind of process that the file is for"`
	HTTP     string   `toml:"http" default:"127.0.0.1:7401" format:"address" doc:"listen address for callers and operators"`
	RPC      string   `toml:"rpc" default:"127.0.0.1:7402" format:"address" doc:"listen address for other processes of the system"`
	Platform string   `toml:"platform" default:"http://127.0.0.1:7400" doc:"URL of the platform's key-value service"`
	Peers    []string `toml:"peers" format:"addresses" doc:"rpc addresses of other entries, for a start without the key-value service"`
	Common   Common   `toml:"common"`
	Policy   Policy   `toml:"policy"`
	Limits   Limits   `toml:"limits"`
}

// checkConsistency rejects a deadline beyond the window for which records are
// kept: a task could start after the claim that forbids it has expired.
func (e *Entry) checkConsistency() error {
	if e.Limits.Deadline > e.Policy.Window {
		return &job.ValueError{
			Field: "limits.deadline", Value: e.Limits.Deadline.D().String(),
			Allowed: "at most policy.window, " + e.Policy.Window.D().String(),
		}
	}
	return nil
}

// Limits bounds the requests that an entry accepts from callers.
type Limits struct {
	Tasks       int      `toml:"tasks" default:"1600" min:"1" max:"100000" doc:"most tasks in one job"`
	Payload     int      `toml:"payload" default:"16384" min:"1" max:"1048576" doc:"most bytes in the payload of one task"`
	Body        int      `toml:"body" default:"8388608" min:"1024" max:"268435456" doc:"most bytes in one request"`
	Deadline    Duration `toml:"deadline" default:"1m" min:"10ms" max:"1h" doc:"longest deadline of a job; at most policy.window"`
	Waiting     int      `toml:"waiting" default:"200000" min:"1" max:"10000000" doc:"most waiting tasks of one service in this entry"`
	StopTimeout Duration `toml:"stopTimeout" default:"2m" min:"1s" max:"1h" doc:"longest planned stop"`
}

// Agent holds the settings of an agent.
type Agent struct {
	Role            string   `toml:"role" default:"agent" oneof:"agent" doc:"kind of process that the file is for"`
	RPC             string   `toml:"rpc" default:"127.0.0.1:7411" format:"address" doc:"listen address for other processes of the system"`
	Advertise       string   `toml:"advertise" format:"address" doc:"address at which entries reach the agent, if it differs from rpc"`
	HTTP            string   `toml:"http" default:"127.0.0.1:7412" format:"address" doc:"listen address for the target's announcements and the metrics"`
	Entries         []string `toml:"entries" format:"addresses" required:"" doc:"rpc addresses of some entries, from which the agent learns the others"`
	TargetLostAfter Duration `toml:"targetLost" default:"3s" min:"100ms" max:"1m" doc:"time without an announcement after which the target gets no new task"`
	StopTimeout     Duration `toml:"stopTimeout" default:"2m" min:"1s" max:"1h" doc:"longest planned stop"`
	MaxResult       int      `toml:"maxResult" default:"65536" min:"64" max:"1048576" doc:"most bytes in the result of one task"`
	Common          Common   `toml:"common"`
	Policy          Policy   `toml:"policy"`
}

// Site holds masticbay's own settings of a process on the users' platform. All
// other settings are in the node file, which the platform writes.
type Site struct {
	Role         string  `toml:"role" default:"site" oneof:"site" doc:"kind of process that the file is for"`
	Listen       string  `toml:"listen" format:"address" doc:"listen address for masticbay's other processes, if address translation makes it differ from the announced one; empty for the announced address"`
	LogLevel     string  `toml:"logLevel" default:"info" oneof:"debug info warn error" doc:"lowest level that is logged"`
	RequestLines int     `toml:"requestLines" default:"400" min:"1" max:"100000" doc:"most log lines a second about single jobs and runs; a home writes one for each job"`
	CellSize     int     `toml:"cellSize" default:"40" min:"4" max:"1000" doc:"number of workers for which one home places tasks; larger sites are divided into cells; the same on all entries"`
	ShedLoad     bool    `toml:"shedLoad" default:"false" doc:"whether a home under overload rejects jobs that could only be late, and guarantees each queue a share; the same on all entries"`
	Traces       string  `toml:"traces" default:"" doc:"destination of traces: a file path or the http:// URL of an OTLP collector; empty to export none"`
	TraceRatio   float64 `toml:"traceRatio" default:"0.01" min:"0" max:"1" doc:"share of jobs that are traced"`
}

// Platform holds the settings of the stand-in for the key-value service.
type Platform struct {
	Role     string `toml:"role" default:"platform" oneof:"platform" doc:"kind of process that the file is for"`
	HTTP     string `toml:"http" default:"127.0.0.1:7400" format:"address" doc:"listen address of the service"`
	LogLevel string `toml:"logLevel" default:"info" oneof:"debug info warn error" doc:"lowest level that is logged"`
}

// Target holds the settings of the stand-in for a target.
type Target struct {
	Role             string   `toml:"role" default:"target" oneof:"target" doc:"kind of process that the file is for"`
	HTTP             string   `toml:"http" default:"127.0.0.1:7421" format:"address" doc:"listen address of the target"`
	Agent            string   `toml:"agent" default:"http://127.0.0.1:7412" doc:"URL of the agent beside it"`
	Name             string   `toml:"name" default:"target1" format:"name" doc:"name in the operators' table"`
	Service          string   `toml:"service" default:"pickup" format:"name" doc:"service whose tasks it runs"`
	Slots            int      `toml:"slots" default:"8" min:"1" max:"10000" doc:"most tasks that run at once"`
	Median           Duration `toml:"median" default:"200ms" min:"0s" max:"1m" doc:"median run time"`
	Sigma            float64  `toml:"sigma" default:"0.5" min:"0" max:"3" doc:"spread of the log-normal run times"`
	Speed            float64  `toml:"speed" default:"1" min:"0.01" max:"100" doc:"speed relative to a target of speed 1"`
	Seed             int      `toml:"seed" default:"1" doc:"seed of the run times"`
	Journal          string   `toml:"journal" default:"" doc:"file to which each start is appended; empty for memory only"`
	AnnounceInterval Duration `toml:"announce" default:"1s" min:"10ms" max:"1m" doc:"interval between announcements"`
	LogLevel         string   `toml:"logLevel" default:"info" oneof:"debug info warn error" doc:"lowest level that is logged"`
}

// The differences in demand, in tasks, at which an agent moves a credit to
// another entry, by preset.
const (
	responseThreshold = 2
	messagesThreshold = 6
)

// CreditThreshold returns the difference in demand, in tasks, at which a credit
// moves to another entry.
func (p *Policy) CreditThreshold() int {
	if p.Preset == "messages" {
		return messagesThreshold
	}
	return responseThreshold
}

// HomeName returns the name whose rendezvous hash selects the entry that handles
// a job. The jobs of a service go to few entries, so that credits rarely have to
// move between entries.
func (p *Policy) HomeName(service string, k job.Key) string {
	return p.HomeOf(service, int(xxhash.Sum64String(string(k))%uint64(p.Homes)))
}

// HomeOf returns the name of home i of a service, for i from 0 to Homes-1.
func (p *Policy) HomeOf(service string, i int) string {
	if p.Homes == 1 {
		return service
	}
	return service + "#" + strconv.Itoa(i)
}

// Retention returns how long records of starts, claims and members are kept: a
// job may be resubmitted until one window after its deadline, and a submission
// may wait until its deadline before it is admitted; a deadline is at most one
// window.
func (p *Policy) Retention() time.Duration {
	return 3 * p.Window.D()
}

// AskThreshold returns the number of waiting tasks at which an entry without
// credits asks agents for some.
func (p *Policy) AskThreshold() int {
	return p.CreditThreshold()
}
