package intake

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"
)

// lines collects log lines.
type lines struct {
	mu sync.Mutex // guards b
	b  bytes.Buffer
}

// Write implements io.Writer.
func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lines) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// newTestServer serves h as a caller's listener on a machine of 96 MB.
func newTestServer(t *testing.T, log *lines, h http.HandlerFunc) (*Gate, string) {
	t.Helper()
	g := NewGate(Options{Machine: Machine{MemoryMB: 96}, Log: zerolog.New(log), Limits: func() Limits { return testLimits }})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := NewServer(h)
	go func() { _ = srv.Serve(g.Callers.Listener(ln)) }()
	t.Cleanup(func() {
		_ = srv.Close()
		g.Close()
	})
	return g, ln.Addr().String()
}

// TestRefusalsAreTruthful guards against a request that is refused for lack of memory after
// something of it has been carried out, and against memory that is not given back.
func TestRefusalsAreTruthful(t *testing.T) {
	if !*runKnownRed {
		t.Skip("listed in KNOWN-RED.txt; run it with -red")
	}
	var log lines
	release, holds := make(chan struct{}), make(chan struct{})
	ran := make(chan string, 10)
	g, address := newTestServer(t, &log, func(w http.ResponseWriter, r *http.Request) {
		if _, err := ReadBody(w, r, testLimits.BodyBytes); err != nil {
			status := http.StatusRequestEntityTooLarge
			if errors.Is(err, ErrRefused) {
				w.Header().Set("Retry-After", "1")
				status = http.StatusServiceUnavailable
			}
			w.WriteHeader(status)
			return
		}
		ran <- r.URL.Path
		if r.URL.Path == "/hold" {
			if Reserve(w, r, 1<<40) != nil || Reserve(w, r, 4500<<10) != nil {
				t.Error("a request was refused without other load")
			}
			close(holds)
			<-release
		}
	})
	var wg sync.WaitGroup
	wg.Go(func() { post(t, address, "/hold", 100) })
	<-holds
	if status, retry := post(t, address, "/large", 262144); status != http.StatusServiceUnavailable || retry == "" {
		t.Errorf("large request: status %d, Retry-After %q", status, retry)
	}
	if status, _ := post(t, address, "/small", 100); status != http.StatusOK {
		t.Errorf("small request beside a large one: status %d", status)
	}
	if status, _ := post(t, address, "/tooLarge", 262145); status != http.StatusRequestEntityTooLarge {
		t.Errorf("request over the limit: status %d", status)
	}
	close(release)
	wg.Wait()
	if status, _ := post(t, address, "/afterwards", 262144); status != http.StatusOK {
		t.Errorf("large request afterwards: status %d", status)
	}
	close(ran)
	var paths []string
	for p := range ran {
		paths = append(paths, p)
	}
	if got := strings.Join(paths, " "); got != "/hold /small /afterwards" {
		t.Errorf("carried out: %s", got)
	}
	awaitTrue(t, "the refusals are logged", func() bool {
		return strings.Contains(log.String(), `"memory":1`) && strings.Contains(log.String(), `"bodySize":1`)
	})
	http.DefaultClient.CloseIdleConnections()
	awaitTrue(t, "everything is given back", func() bool {
		u := g.Callers.takeUsage()
		return u.Held == 0 && u.Connections == 0
	})
}

func post(t *testing.T, address, path string, size int) (status int, retryAfter string) {
	resp, err := http.Post("http://"+address+path, "", bytes.NewReader(make([]byte, size)))
	if err != nil {
		t.Errorf("%s: %v", path, err)
		return 0, ""
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode, resp.Header.Get("Retry-After")
}

func awaitTrue(t *testing.T, what string, cond func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if cond() {
			return
		}
	}
	t.Errorf("not in time: %s", what)
}

// TestHeadersOverTheLimitAreRefused guards against headers that are read without end.
func TestHeadersOverTheLimitAreRefused(t *testing.T) {
	var log lines
	_, address := newTestServer(t, &log, func(http.ResponseWriter, *http.Request) {})
	for name, c := range map[string]struct {
		header string
		status string
	}{
		"at the limit": {strings.Repeat("a:\r\n", (16384-40)/4), "200"},
		"over it":      {strings.Repeat("a:\r\n", 16384), "431"},
	} {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = fmt.Fprintf(conn, "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n%s\r\n", c.header)
		answer, _ := io.ReadAll(conn) // may end with a reset
		_ = conn.Close()
		if !strings.HasPrefix(string(answer), "HTTP/1.1 "+c.status) && (c.status == "200" || len(answer) > 0) {
			t.Errorf("%s: answer %.100q", name, answer)
		}
	}
}

// TestBodiesOfManyObjectsCostMore guards against jobs of legal size that decode to many times
// their bytes.
func TestBodiesOfManyObjectsCostMore(t *testing.T) {
	raw := []byte(`{"steps":[` + strings.Repeat(`{"count":1},`, 20000) + `{}]}`)
	if cost := JSONCost(raw); cost < 40*int64(len(raw)) {
		t.Errorf("cost %d of %d bytes", cost, len(raw))
	}
	ordinary := []byte(`{"loose":true,"steps":[{"count":8,"cpu":2900,"memMb":100,"estimate":60,"affinity":"r1"}]}`)
	if cost := JSONCost(ordinary); cost > 4<<10 {
		t.Errorf("cost %d of an ordinary job", cost)
	}
}

func BenchmarkRequest(b *testing.B) {
	p := newBenchmarkPart()
	a := p.open(nil, func(*Account) aborter { return nil })
	request := []byte("POST /pickup/0000000000000001 HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 100\r\n\r\n" + strings.Repeat(" ", 100))
	b.ReportAllocs()
	for b.Loop() {
		p.mu.Lock()
		cost, _ := a.Received(p.now(), request, p.limits())
		p.mu.Unlock()
		p.charge(a, cost)
		p.update(a, func(now time.Time) int64 { a.Begin(now, true); return 0 })
		p.charge(a, 101)
		p.update(a, func(now time.Time) int64 { a.BodyRead(now); return 0 })
		p.charge(a, 3000)
		p.charge(a, 1000)
		p.update(a, a.Done)
		p.update(a, func(now time.Time) int64 { a.WriteBegins(now); return 0 })
		p.update(a, func(now time.Time) int64 { a.WriteEnds(now); return 0 })
	}
}

func newBenchmarkPart() *Part {
	g := NewGate(Options{Limits: func() Limits { return testLimits }})
	g.Close()
	return g.Callers
}
