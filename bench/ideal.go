package bench

import (
	"time"

	"masticbay/job"
	"masticbay/queue"
)

// idealResponseTimes returns the response time of each job if one central queue,
// without a network, starts tasks on the fastest free slot in the order of package
// queue.
func (sc *Scenario) idealResponseTimes(arrivals []arrival) map[job.Key]time.Duration {
	var c clock
	c.endAt = 1 << 62
	var waiting queue.Queue
	speeds := sc.Workload.speeds()
	freeSlots := make([]int, numAgents)
	for i := range freeSlots {
		freeSlots[i] = numSlots
	}
	unfinished := make(map[job.Key]int)
	nextTask := make(map[job.Key]int)
	jobs := make(map[job.Key]*arrival)
	responseTimes := make(map[job.Key]time.Duration)
	assign := func() {
		for i := range freeSlots {
			for freeSlots[i] > 0 && waiting.Len() > 0 {
				item, _ := waiting.Next(func(string) bool { return true })
				waiting.Take(item.Key)
				freeSlots[i]--
				a := jobs[item.Key]
				runTime := sc.runTime(i, c.elapsed, a.taskTimes[nextTask[item.Key]], speeds[i])
				nextTask[item.Key]++
				c.after(runTime, func() {
					freeSlots[i]++
					unfinished[item.Key]--
					if unfinished[item.Key] == 0 {
						responseTimes[item.Key] = c.elapsed - a.at
					}
				})
			}
		}
	}
	for i := range arrivals {
		a := &arrivals[i]
		if a.spec.Service != service {
			continue
		}
		c.after(a.at, func() {
			jobs[a.spec.Key], unfinished[a.spec.Key] = a, len(a.taskTimes)
			waiting.Push(queue.Item{Key: a.spec.Key, Team: a.spec.Team, Waiting: len(a.taskTimes)}, 1)
		})
	}
	c.run(assign)
	return responseTimes
}

// runTime returns the run time of a task that starts now at a target. Stragglers
// are slow in the ideal as well; it has no dead or failing targets.
func (sc *Scenario) runTime(target int, now, size time.Duration, speed float64) time.Duration {
	if sc.has(Straggler) && target == faultTarget && now >= faultAt {
		speed /= 3
	}
	return time.Duration(float64(size) / speed)
}

// faultTarget is the index of the target that has the faults, a fast one.
const faultTarget = 1
