package worker

import (
	"math"
	"time"
)

// Pace is how the run times of the worker compare with their estimates.
type Pace struct {
	Runs int     // at most paceWindow
	Log  float64 // mean of the logarithm of run time over estimate
}

// paceWindow is the number of recent runs that the mean covers.
const paceWindow = 40

func (p *Pace) add(took, estimate time.Duration) {
	if took <= 0 || estimate <= 0 {
		return
	}
	p.Runs = min(p.Runs+1, paceWindow)
	p.Log += (math.Log(float64(took)/float64(estimate)) - p.Log) / float64(p.Runs)
}

// Pace returns the pace of the worker in its present incarnation.
func (g *Guard) Pace() Pace { return g.pace }
