package worker

import "time"

// A token must be higher than all that earlier incarnations of the agent have used, also
// towards earlier incarnations of the worker: a late order to one of them may reach the
// present one, which has seen no token. The reading at which a worker's clock begins is not
// known, so each millisecond between two starts of a worker counts for tokensPerMilli
// milliseconds of its clock.
const (
	tokensPerMilli = 1 << 12
	minBorn        = 946684800000  // 2000-01-01 in Unix milliseconds
	maxBorn        = 2524608000000 // 2050-01-01; tokens of later start times would exceed 1<<53
)

// raiseToken sets a token that is higher than all earlier ones.
func (g *Guard) raiseToken() {
	g.token = max(g.token+1, g.bornToken()+uint64(g.workerClock.Milliseconds())+1)
}

// bornToken returns the token below those of orders to this incarnation of the worker. It is 0
// while the start time of the worker is not known or out of range.
func (g *Guard) bornToken() uint64 { return tokenAt(g.target.Born) }

// tokenAt returns the bornToken of a worker that started at a time in Unix milliseconds.
func tokenAt(born int64) uint64 {
	if born < minBorn || born > maxBorn {
		return 0
	}
	return uint64(born-minBorn) * tokensPerMilli
}

// TokenRejected records that the worker has rejected askedToken, that of a poll or a start,
// since it has seen a higher one. The worker does not say which, so the token rises by
// more with each consecutive rejection. As long as the start time of the worker is not
// known either, the time of day is where the search begins; nothing rests on it.
func (g *Guard) TokenRejected(now, timeOfDay time.Time, clock time.Duration, askedToken uint64) {
	g.updateClock(now, clock)
	if askedToken < g.token {
		return // it has risen since
	}
	g.expectLongestLease(now)
	if g.lastPoll.IsZero() {
		g.token = max(g.token, tokenAt(timeOfDay.UnixMilli()))
	}
	g.tokenStep = max(2*g.tokenStep, firstTokenStep)
	g.token += g.tokenStep
	g.raiseToken()
}

// firstTokenStep is how much the token rises after a first rejection. Doubling it
// reaches the highest token of an incarnation of an hour in 19 rejections.
const firstTokenStep = 8
