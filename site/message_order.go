package site

import "time"

// messageOrder tells which of the messages that another process sends about itself is the latest: the
// replies of an agent, the greetings of an entry. Several exchanges with a process are open at a time, so
// its messages arrive in any order.
//
// An overtaken message is ignored as a whole: it describes an earlier state. Nothing is lost by that, as a
// later report lists each event of an earlier one that the home has not acknowledged. The zero value awaits
// the first message.
type messageOrder struct {
	life       string    // incarnation of the process that made the latest message
	lifeSince  time.Time // when the first message of that incarnation was received
	number     uint64    // of the latest message
	receivedAt time.Time // when the latest message was received
}

// numberOf returns the number of a message. An earlier build does not number its messages, and its stamps
// order them; without a stamp too, the number is 0.
func numberOf(number uint64, stamp time.Duration) uint64 {
	if number == 0 {
		return uint64(stamp)
	}
	return number
}

// take records a message unless a later one has been recorded, and reports whether it did. A message that
// answers an exchange was made after sentAt, when the exchange began; otherwise sentAt is zero. Whatever
// its number is, an answer to an exchange that began after the latest message was received is later, so a
// malformed number does not shut out the messages after it. A message without number counts as later.
func (o *messageOrder) take(now, sentAt time.Time, life string, number uint64) bool {
	switch {
	case life != o.life:
		if !o.lifeSince.IsZero() && !sentAt.After(o.lifeSince) {
			return false // an earlier incarnation may have made it
		}
		o.life, o.lifeSince = life, now
	case number != 0 && number <= o.number && !sentAt.After(o.receivedAt):
		return false
	}
	o.number, o.receivedAt = number, now
	return true
}
