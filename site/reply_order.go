package site

import "time"

// replyOrder tells which of an agent's replies is the latest. A home has several exchanges with an agent
// at a time, so replies arrive in any order.
//
// An overtaken reply is ignored: its report describes an earlier state, and a later report lists each
// event of it that the home has not acknowledged. The zero value awaits the first reply.
type replyOrder struct {
	life       string    // incarnation of the agent that made the latest reply
	lifeSince  time.Time // when the first reply of that incarnation was received
	number     uint64    // of the latest reply
	receivedAt time.Time // when the latest reply was received
}

// take records the reply of an exchange that began at sentAt, unless an earlier one has overtaken it, and
// reports whether it did. Whatever its number is, the reply of an exchange that began after the latest reply
// was received is later, so a malformed number does not shut out the replies after it.
func (o *replyOrder) take(now, sentAt time.Time, rep *SyncReply) bool {
	number := rep.Number
	if number == 0 {
		number = uint64(rep.Stamp) // an earlier build does not number its replies
	}
	switch {
	case rep.Report.Life != o.life:
		if !o.lifeSince.IsZero() && !sentAt.After(o.lifeSince) {
			return false // an earlier incarnation may have answered
		}
		o.life, o.lifeSince = rep.Report.Life, now
	case number <= o.number && !sentAt.After(o.receivedAt):
		return false
	}
	o.number, o.receivedAt = number, now
	return true
}
