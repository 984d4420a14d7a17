package intake

import (
	"bufio"
	"bytes"
	"encoding/gob"
	"io"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"
)

// allocated returns the bytes that f allocates, which is at least what it keeps. Other
// goroutines may add to it, so the least of a few runs counts.
func allocated(f func()) int64 {
	least := int64(-1)
	for range 3 {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		f()
		runtime.ReadMemStats(&after)
		if n := int64(after.TotalAlloc - before.TotalAlloc); least < 0 || n < least {
			least = n
		}
	}
	return least
}

// FuzzHeaderMemory checks that what net/http allocates to read the header of a request is
// covered by what the header was charged, whatever the sizes in which it arrives.
func FuzzHeaderMemory(f *testing.F) {
	f.Add([]byte("POST /pickup/0000000000000001 HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 2\r\n\r\n{}"), uint8(1))
	f.Add([]byte("GET / HTTP/1.1\r\n"+strings.Repeat("a:\r\n", 4000)), uint8(7))
	f.Add([]byte("GET / HTTP/1.1\r\n"+differentLines(1800)+"\r\n"), uint8(100))
	f.Add([]byte(strings.Repeat("\r\n", 8000)), uint8(2))
	f.Add([]byte("GET / HTTP/1.1\r\na:"+strings.Repeat("\r\n b", 3000)), uint8(255))
	f.Add([]byte("GET /"+strings.Repeat("%41", 5000)+" HTTP/1.1\n\n"), uint8(64))
	f.Fuzz(func(t *testing.T, text []byte, piece uint8) {
		a := &Account{}
		cost, taken := int64(0), 0
		for taken < len(text) {
			n := min(int(piece)+1, len(text)-taken)
			c, cause := a.Received(start, text[taken:taken+n], testLimits)
			if cause != "" {
				break
			}
			cost, taken = cost+c, taken+n
		}
		if taken > testLimits.HeaderBytes+readAhead {
			t.Fatalf("%d bytes of a header were taken", taken)
		}
		text = text[:taken]
		buffer := bufio.NewReaderSize(nil, 4096)
		used := allocated(func() {
			buffer.Reset(bytes.NewReader(text))
			_, _ = http.ReadRequest(buffer) // malformed requests use memory, too
		})
		if limit := cost + httpConnCost; used > limit {
			t.Errorf("%d bytes allocated for %d bytes of header, which cost %d", used, len(text), cost)
		}
	})
}

func differentLines(n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString("x" + strings.Repeat("y", i%3) + string(rune('a'+i%26)) + string(rune('a'+i/26%26)) + string(rune('a'+i/676)) + ":\r\n")
	}
	return b.String()
}

// FuzzBodyMemory checks that a body, whole or chunked, is read within its limit and the memory
// that its buffers are charged.
func FuzzBodyMemory(f *testing.F) {
	f.Add([]byte("5\r\nhello\r\n0\r\n\r\n"), true)
	f.Add([]byte("ffffffff\r\n"+strings.Repeat("x", 9000)), true)
	f.Add([]byte(strings.Repeat("1\r\nx\r\n", 5000)+"0\r\n\r\n"), true)
	f.Add([]byte(strings.Repeat("x", 40000)), false)
	f.Fuzz(func(t *testing.T, text []byte, chunked bool) {
		const limit = 32 << 10
		header := "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 40000\r\n\r\n"
		if chunked {
			header = "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
		}
		r, err := http.ReadRequest(bufio.NewReader(io.MultiReader(strings.NewReader(header), bytes.NewReader(text))))
		if err != nil {
			t.Fatal(err)
		}
		var body []byte
		w := discardWriter{}
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		body, err = ReadBody(w, r, limit)
		runtime.ReadMemStats(&after)
		// The buffers double up to the limit; errors and other goroutines allocate little.
		if used := after.TotalAlloc - before.TotalAlloc; used > 2*limit+64<<10 {
			t.Errorf("%d bytes allocated for a body of at most %d", used, limit)
		}
		if len(body) > limit || err == nil && cap(body) > limit+1 {
			t.Errorf("%d bytes in a buffer of %d, limit %d", len(body), cap(body), limit)
		}
	})
}

type discardWriter struct{}

func (discardWriter) Header() http.Header         { return http.Header{} }
func (discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (discardWriter) WriteHeader(int)             {}

// FuzzMessages checks that no stream passes a message above the limit, that the pieces in
// which a stream arrives don't change its cost, and that definitions of types are kept.
func FuzzMessages(f *testing.F) {
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(struct{ A, B []int }{[]int{1, 2}, nil}); err != nil {
		f.Fatal(err)
	}
	f.Add(b.Bytes(), uint8(1))
	f.Add([]byte("\xfc\x20\x00\x00\x00\x01"), uint8(2))
	f.Add([]byte("\x80\x01"), uint8(0))
	f.Add([]byte("\x00\x00\x03\xff\x01\x00"), uint8(3))
	f.Fuzz(func(t *testing.T, stream []byte, piece uint8) {
		const limit = 1000
		var whole, pieces MessageMeter
		want, wantOK := whole.Received(stream, limit)
		var got MessageCost
		ok := true
		for rest := stream; len(rest) > 0 && ok; {
			n := min(int(piece)+1, len(rest))
			var c MessageCost
			c, ok = pieces.Received(rest[:n], limit)
			got.Call, got.Kept = got.Call+c.Call, got.Kept+c.Kept
			rest = rest[n:]
		}
		if ok != wantOK || got != want {
			t.Errorf("in pieces %+v, %v; whole %+v, %v", got, ok, want, wantOK)
		}
		if whole.left > limit || whole.left < 0 {
			t.Errorf("a message of %d bytes passes", whole.left)
		}
	})
}

// TestMessagesCostWhatTheyDecodeTo guards against small messages that decode to many times
// their bytes.
func TestMessagesCostWhatTheyDecodeTo(t *testing.T) {
	type step struct {
		Count    int
		After    []int
		Label    string
		Estimate time.Duration
		Rest     [8]int64
	}
	type call struct{ Steps []step }
	for name, c := range map[string]call{"empty steps": {make([]step, 20000)}, "labels": {labelled(20000, func() step { return step{Label: "x"} })}} {
		var b bytes.Buffer
		if err := gob.NewEncoder(&b).Encode(c); err != nil {
			t.Fatal(err)
		}
		var m MessageMeter
		cost, ok := m.Received(b.Bytes(), 1<<20)
		used := allocated(func() {
			if err := gob.NewDecoder(bytes.NewReader(b.Bytes())).Decode(new(call)); err != nil {
				t.Fatal(err)
			}
		})
		t.Logf("%s: %d bytes cost %+v, %d allocated", name, b.Len(), cost, used)
		if !ok || cost.Call+cost.Kept < used/3 {
			t.Errorf("%s: %d bytes cost %+v, but %d were allocated", name, b.Len(), cost, used)
		}
	}
}

func labelled[T any](n int, f func() T) (out []T) {
	for range n {
		out = append(out, f())
	}
	return out
}
