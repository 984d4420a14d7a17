package site

import "masticbay/evacuation"

// startEvacuations starts the loop that follows the evacuated data centres. An agent calls
// the store rarely, and gets changes from its home as well.
func (a *Agent) startEvacuations() {
	if !a.evacuations.isActive {
		return
	}
	a.evacuations.releaseLater()
	go a.evacuations.watchDuty(a.stop, agentWatchTimeout, agentMinCallInterval, agentRetryInterval, agentMinCallInterval)
}

// setEvacuated makes the guard obey a set of evacuated data centres.
func (a *Agent) setEvacuated(s evacuation.Set) {
	a.metrics.evacuated.Update(float64(len(s.DataCentres)))
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.guard.SetEvacuated(s) {
		go a.poll(0) // with the higher fencing token
	}
	a.signalEvents()
}

// announcedDataCentre returns the data centre of the worker for announcements; nothing if
// data centres are not evacuated.
func (a *Agent) announcedDataCentre() string {
	if !a.evacuations.isActive {
		return ""
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	t, _ := a.guard.Target()
	return t.Zone
}
