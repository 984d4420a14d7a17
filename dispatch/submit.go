package dispatch

import (
	"strconv"
	"time"

	"masticbay/gate"
	"masticbay/job"
	"masticbay/queue"
)

// Admission holds what the entry knows about a submission besides its content.
type Admission struct {
	Submission string // unique among all submissions
	Claim      bool   // another entry may have run the job
}

// Ticket is the result of an accepted submission.
type Ticket struct {
	Attached bool        // the job of this key was known, and was not submitted anew
	Answer   *job.Answer // set when the job has ended
}

// Submit admits a job or attaches the submission to the job of the same key.
// The error is a *job.RefusedError; it proves that the submission ran nothing.
func (c *Core) Submit(now time.Time, spec *job.Spec, adm Admission) (t Ticket, err error) {
	hash := spec.Hash()
	j := c.jobs[spec.Key]
	if j != nil && j.hash != hash {
		c.counters.Refused++
		return Ticket{}, &job.RefusedError{Code: job.KeyConflict, Message: "key " + strconv.Quote(string(spec.Key)) + " names another job"}
	}
	if j != nil && !j.mayBeOutdated() {
		c.counters.Attached++
		return Ticket{Attached: true, Answer: j.answer}, nil
	}
	if err := c.admit(spec); err != nil {
		c.counters.Refused++
		return Ticket{}, err
	}
	c.counters.Submitted++
	next := c.newJob(now, spec, hash, adm)
	if j != nil {
		next.inheritCancellation(j)
	}
	if adm.Claim || j != nil || c.isBound(spec.Key) {
		c.startClaim(now, next, requiredClaim)
	} else {
		c.enqueue(next)
	}
	c.schedule(now, c.service(spec.Service))
	return Ticket{}, nil
}

// isBound reports whether another entry has claimed the job here.
func (c *Core) isBound(k job.Key) bool {
	m := c.memories[k]
	return m != nil && !m.bound.Zero()
}

// mayBeOutdated reports whether the answer of a job may no longer be true: a task
// that did not run here may have run at another entry since. A resubmission then
// claims the job again, and runs the tasks that are still proven not to have
// started.
func (j *activeJob) mayBeOutdated() bool {
	return j.answer != nil && j.answer.Counts.NotRun > 0
}

// inheritCancellation keeps a cancelled job cancelled when it is submitted again.
func (j *activeJob) inheritCancellation(earlier *activeJob) {
	j.cancelled = earlier.cancelled
	j.reason = ""
	if j.cancelled {
		j.reason = reasonCancelled
	}
}

func (c *Core) admit(spec *job.Spec) error {
	s := c.services[spec.Service]
	share, listed := c.limits.Services[spec.Service]
	if !listed && (s == nil || len(s.agents) == 0) {
		return &job.RefusedError{Code: job.UnknownService, Message: "no service " + strconv.Quote(spec.Service)}
	}
	if share.Closed {
		return &job.RefusedError{Code: job.Overloaded, Message: "service " + strconv.Quote(spec.Service) + " is closed in the table"}
	}
	if c.limits.Teams[spec.Team].Closed {
		return &job.RefusedError{Code: job.Overloaded, Message: "team " + strconv.Quote(spec.Team) + " is closed in the table"}
	}
	if s == nil {
		return nil
	}
	return c.admitLoad(s, spec)
}

// admitLoad refuses a job that would wait past its deadline or overfill the queue.
func (c *Core) admitLoad(s *service, spec *job.Spec) error {
	wait := c.expectedWait(s)
	if wait > spec.Deadline || s.queue.Len()+len(spec.Tasks) > c.cfg.MaxWaiting {
		return &job.RefusedError{
			Code:       job.Overloaded,
			Message:    "expected wait " + wait.Round(time.Millisecond).String() + " with " + strconv.Itoa(s.queue.Len()) + " tasks ahead",
			RetryAfter: max(time.Second, wait-spec.Deadline),
		}
	}
	return nil
}

// expectedWait estimates how long a new task of s would wait.
func (c *Core) expectedWait(s *service) time.Duration {
	if s.queue.Len() == 0 || s.running == 0 {
		return 0
	}
	return s.runTimes.Mean() * time.Duration(s.queue.Len()) / time.Duration(s.running)
}

func (c *Core) newJob(now time.Time, spec *job.Spec, hash uint64, adm Admission) *activeJob {
	j := &activeJob{
		spec:        *spec,
		hash:        hash,
		submission:  adm.Submission,
		submittedAt: now,
		deadline:    now.Add(spec.Deadline),
		registry:    c.registry.Revision,
		tasks:       make([]task, len(spec.Tasks)),
		openTasks:   len(spec.Tasks),
	}
	c.jobs[spec.Key] = j
	c.timers.add(j.deadline, timer{kind: deadlineTimer, key: spec.Key})
	return j
}

func (c *Core) enqueue(j *activeJob) {
	waiting := 0
	for i := range j.tasks {
		if j.tasks[i].state == job.Queued {
			waiting++
		}
	}
	c.pushTasks(j, waiting)
}

func (c *Core) pushTasks(j *activeJob, n int) {
	it := queue.Item{Key: j.spec.Key, Team: j.spec.Team, Waiting: n, Deadline: j.deadline}
	c.service(j.spec.Service).queue.Push(it, c.teamWeight(j.spec.Team))
}

func (c *Core) teamWeight(team string) float64 {
	if s, ok := c.limits.Teams[team]; ok {
		return s.Weight
	}
	return 1
}

// Lookup returns the answer of a job, or its counts while it has none.
func (c *Core) Lookup(k job.Key) (job.Answer, bool) {
	j := c.jobs[k]
	if j == nil {
		return job.Answer{}, false
	}
	if j.answer != nil {
		return *j.answer, true
	}
	return job.Answer{Key: k, Submission: j.submission, Status: job.StatusRunning, Counts: j.counts()}, true
}

func (j *activeJob) counts() (n job.Counts) {
	for i := range j.tasks {
		n.Add(j.tasks[i].state)
	}
	return n
}

func (j *activeJob) taskID(i int) gate.TaskID {
	id := gate.TaskID{Job: j.spec.Key, Index: i}
	if j.tasks[i].rerun {
		id.Rerun = j.submission
	}
	return id
}
