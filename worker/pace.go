package worker

import (
	"math"
	"time"
)

// Pace is how long the worker's runs take against their estimates.
type Pace struct {
	Runs int     // at most paceWindow
	Log  float64 // mean of the logarithm of run time over estimate
}

// paceWindow is the number of runs that the mean looks back on.
const paceWindow = 40

func (p *Pace) add(took, estimate time.Duration) {
	if took <= 0 || estimate <= 0 {
		return
	}
	p.Runs = min(p.Runs+1, paceWindow)
	p.Log += (math.Log(float64(took)/float64(estimate)) - p.Log) / float64(p.Runs)
}

// Pace returns how long the worker's runs took in its present life.
func (g *Guard) Pace() Pace { return g.pace }
