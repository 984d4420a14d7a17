package intake

import "bytes"

// What a message of a link costs.
const (
	messageByteCost = 4 // the received bytes and their decoded form
	// structCost is for each zero byte. Empty structs are encoded by these alone; steps of a job
	// take 58 bytes for each when they are decoded.
	structCost = 64
	// definitionCost is for each byte of a type's definition, which the decoder keeps.
	definitionCost = 16
)

// MessageMeter follows the framing of a stream of gob messages: a length and that many bytes,
// which begin with a type's number. The zero value is at the start of a message.
type MessageMeter struct {
	lengthLeft int   // bytes of the length that are still to come
	length     int64 // as far as it is known
	left       int64 // bytes of the message that are still to come
	typeLeft   int   // bytes of the type's number that are still to come
	definition bool  // the message defines a type
}

// MessageCost is what received bytes cost.
type MessageCost struct {
	Call int64 // until the call is answered
	Kept int64 // until the connection ends
}

// Received takes bytes that have arrived. It returns what they cost and whether all messages
// are at most limit bytes long.
func (m *MessageMeter) Received(p []byte, limit int64) (c MessageCost, ok bool) {
	for len(p) > 0 {
		switch {
		case m.left == 0:
			c.Call++
			if !m.takeLength(p[0], limit) {
				return c, false
			}
			p = p[1:]
		case m.typeLeft > 0:
			m.takeType(p[0])
			c.Call++
			m.left--
			p = p[1:]
		default:
			n := min(int64(len(p)), m.left)
			if m.definition {
				c.Kept += n * definitionCost
			} else {
				c.Call += n*messageByteCost + int64(bytes.Count(p[:n], zero))*structCost
			}
			m.left -= n
			p = p[n:]
		}
	}
	return c, true
}

var zero = []byte{0}

// maxLengthBytes is enough for the longest message that any limit allows.
const maxLengthBytes = 7

// takeLength takes a byte of the length of a message: the length itself if it is below 128,
// otherwise the negated number of bytes that hold it.
func (m *MessageMeter) takeLength(b byte, limit int64) bool {
	switch {
	case m.lengthLeft > 0:
		m.length = m.length<<8 | int64(b)
		m.lengthLeft--
	case b < 0x80:
		m.length = int64(b)
	default:
		m.length, m.lengthLeft = 0, -int(int8(b))
		if m.lengthLeft > maxLengthBytes {
			return false
		}
	}
	if m.lengthLeft == 0 {
		if m.length > limit {
			return false
		}
		m.left, m.typeLeft, m.definition = m.length, 1, false
	}
	return true
}

// takeType takes a byte of the type's number, whose encoding ends with the sign. A negative
// number marks a definition.
func (m *MessageMeter) takeType(b byte) {
	m.typeLeft--
	if m.typeLeft == 0 && !m.definition && b >= 0x80 {
		m.typeLeft = -int(int8(b))
		m.definition = true // until the sign is known
		return
	}
	if m.typeLeft == 0 {
		m.definition = b&1 == 1
	}
}
