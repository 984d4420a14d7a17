package schedule

import (
	"math"
	"slices"
	"time"

	"masticbay/work"
)

// This file weighs racks: tasks with an affinity take Config.RemoteFactor times as long on
// other racks. Work that wants a rack finds capacity there if other tasks leave it free,
// and waits for the rack only while that ends sooner than running elsewhere.

// rack is the workers that have a label for which tasks have an affinity.
type rack struct {
	label     string
	wanted    float64   // work that jobs wanted to do here, fading with demandMemory; in thousandths of a core times ms
	lastJobAt time.Time // when a job wanted it last
	wantedAt  time.Time // when wanted and arrived were computed
	// arrived is the CPU of the tasks that wanted the rack, by priority, fading as wanted.
	arrived [priorityClasses]float64
	// The figures below are computed for each pass over the waiting jobs.
	capacity int     // CPU of the usable workers
	foreign  int     // CPU of runs without an affinity to this rack, and of other entries
	speed    float64 // CPU of the usable workers, scaled to slowness 1
	freed    float64 // CPU that ends of runs free per ms
	ahead    int     // CPU of tasks that wait for this rack in this pass
	demand   float64 // work that wants it over what it can do
	crowded  bool    // it can hardly do the work that wants it
	reserve  int     // CPU that other tasks leave free while there is capacity elsewhere
}

const (
	demandMemory    = 2 * time.Second  // bursts last for seconds
	reserveHeadroom = 1.5              // over the mean demand, for wide jobs
	crowdedShare    = 0.85             // demand over capacity at which waits become long
	waitRisk        = 2                // estimated waits count twice against a run that is in time elsewhere
	rackExpiry      = 30 * time.Second // time without a job that wants the rack
	maxRacks        = 256              // labels of affinities that are told apart
	priorityClasses = 8                // the last one holds all lower priorities
)

// recordDemand counts the work of a job toward the racks that it wants.
func (c *Core) recordDemand(now time.Time, j *job) {
	if c.cfg.RemoteFactor <= 1 {
		return
	}
	for i := range j.Steps {
		s := &j.Steps[i]
		if s.Affinity == "" {
			continue
		}
		if r := c.rackOf(now, s.Affinity); r != nil {
			r.fade(now)
			r.lastJobAt = now
			r.wanted += float64(s.Count*s.Room.CPU) * ms(c.expectedTime(j, i))
			r.arrived[priorityClass(j)] += float64(s.Count * s.Room.CPU)
		}
	}
}

// rackOf returns the rack of a label, which it adds if a worker has the label.
func (c *Core) rackOf(now time.Time, label string) *rack {
	if r := c.findRack(label); r != nil || len(c.racks) >= maxRacks {
		return r
	}
	if !slices.ContainsFunc(c.agentNames, func(name string) bool { return slices.Contains(c.targets[name].Labels, label) }) {
		return nil
	}
	r := &rack{label: label, wantedAt: now, lastJobAt: now}
	c.racks = append(c.racks, r)
	c.assignRacks()
	return r
}

// findRack returns the rack of a label, or nil.
func (c *Core) findRack(label string) *rack {
	if label == "" {
		return nil
	}
	for _, r := range c.racks {
		if r.label == label {
			return r
		}
	}
	return nil
}

// assignRacks sets the racks of all workers.
func (c *Core) assignRacks() {
	for _, name := range c.agentNames {
		c.assignRack(c.targets[name])
	}
}

// assignRack sets the rack of a worker: the first one whose label it has.
func (c *Core) assignRack(t *target) {
	t.rack = nil
	for _, r := range c.racks {
		if slices.Contains(t.Labels, r.label) {
			t.rack = r
			return
		}
	}
}

// expireRacks drops racks that no job has wanted for rackExpiry.
func (c *Core) expireRacks(now time.Time) {
	n := len(c.racks)
	c.racks = slices.DeleteFunc(c.racks, func(r *rack) bool { return now.Sub(r.lastJobAt) > rackExpiry })
	if len(c.racks) < n {
		c.assignRacks()
	}
}

func (r *rack) fade(now time.Time) {
	factor := math.Exp(-float64(now.Sub(r.wantedAt)) / float64(demandMemory))
	r.wanted *= factor
	for i := range r.arrived {
		r.arrived[i] *= factor
	}
	r.wantedAt = now
}

// updateRacks computes the figures of the racks for a pass over the waiting jobs.
func (c *Core) updateRacks(now time.Time, open []*target) {
	if len(c.racks) == 0 {
		return
	}
	for _, r := range c.racks {
		r.capacity, r.foreign, r.speed, r.freed, r.ahead = 0, 0, 0, 0, 0
	}
	for _, t := range open {
		if r := t.rack; r != nil {
			r.capacity += t.Capacity.CPU
			r.foreign += t.used.CPU - t.nearCPU + t.usedByOthers.CPU
			r.speed += float64(t.Capacity.CPU) / t.slowness()
			r.freed += t.freed
		}
	}
	for _, r := range c.racks {
		r.fade(now)
		r.demand = r.wanted / ms(demandMemory) / max(r.speed, 1)
		r.crowded = r.demand > crowdedShare
		r.reserve = int(min(reserveHeadroom*r.demand, 1) * float64(r.capacity))
	}
}

// isReserved reports whether a task that has no affinity to a worker's rack should leave
// it to tasks that have.
func isReserved(step *work.Step, t *target) bool {
	r := t.rack
	return r != nil && r.label != step.Affinity && r.foreign+step.Room.CPU > r.capacity-r.reserve
}

// waitForRack returns how long the last pending task of a job would wait for capacity on
// a rack without any, and its run time there. Jobs of higher priorities that are going to
// arrive take their part of what becomes free. It is not known if no runs of this home
// are there.
func (c *Core) waitForRack(j *job, step *work.Step, baseTime time.Duration, r *rack) (wait, runTime time.Duration, known bool) {
	if r.freed <= 0 || r.speed <= 0 {
		return 0, 0, false
	}
	left := r.freed
	for _, cpu := range r.arrived[:priorityClass(j)] {
		left -= cpu / ms(demandMemory)
	}
	// A small rest is as uncertain as the demand, and would give a wait without bound.
	left = max(left, minFreedShare*r.freed)
	wait = time.Duration(float64(r.ahead+j.pending*step.Room.CPU) / left * float64(time.Millisecond))
	return wait, time.Duration(float64(baseTime) * float64(r.capacity) / r.speed), true
}

// minFreedShare is the least share of the CPU that becomes free which a priority counts on.
const minFreedShare = 0.05

// priorityClass returns the index of a job's priority in rack.arrived.
func priorityClass(j *job) int { return min(max(j.Queue.Priority, 0), priorityClasses-1) }

// noteOutsideRack adds a log note on the first task of a job that runs outside its rack.
func (c *Core) noteOutsideRack(now time.Time, t *target, j *job, slot int) {
	step := j.Step(slot)
	if j.leftRack || c.distanceFactor(step, t) == 1 {
		return
	}
	j.leftRack = true
	baseTime := c.expectedTime(j, slot)
	values := map[string]float64{"waitedMs": ms(now.Sub(j.receivedAt)), "hereMs": ms(baseTime) * t.slowness() * c.distanceFactor(step, t)}
	if r := c.findRack(step.Affinity); r != nil {
		values["rackDemand"] = r.demand
		if wait, runTime, known := c.waitForRack(j, step, baseTime, r); known {
			values["rackWaitMs"], values["rackMs"] = ms(wait), ms(runTime)
		}
	}
	c.addNote(Note{Job: j.ID, Agent: t.agent, Kind: "outsideRack", Reason: "its rack " + step.Affinity + " has less to offer", Values: values})
}

// recordWait counts the pending tasks of a slot toward those that wait for its rack.
func (c *Core) recordWait(j *job, slot int) {
	step := j.Step(slot)
	if r := c.findRack(step.Affinity); r != nil {
		r.ahead += j.pending * step.Room.CPU
	}
}

// occupy accounts for a run that is placed on the worker. A run that lasts frees nothing.
func (t *target) occupy(step *work.Step, tk *task, lasts bool) {
	t.used = t.used.Add(step.Room)
	tk.near = step.Affinity != "" && slices.Contains(t.Labels, step.Affinity)
	tk.freed = 0
	if !lasts {
		tk.freed = float64(step.Room.CPU) / max(ms(tk.expected), 1)
	}
	t.freed += tk.freed
	if tk.near {
		t.nearCPU += step.Room.CPU
	} else if t.rack != nil {
		t.rack.foreign += step.Room.CPU
	}
}

// release accounts for the end of a run on the worker.
func (t *target) release(step *work.Step, tk *task) {
	t.used = t.used.Sub(step.Room)
	t.freed = max(t.freed-tk.freed, 0)
	if tk.near {
		t.nearCPU -= step.Room.CPU
	}
}
