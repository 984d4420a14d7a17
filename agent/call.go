package agent

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"

	"masticbay/gate"
	"masticbay/target"
	"masticbay/telemetry"
)

const (
	targetDialTimeout = time.Second
	targetConns       = 256
)

// newTargetClient returns the client of the target over rt, or over HTTP if rt is
// nil. It does not use the client of httpc, whose circuit breaker would refuse and
// count calls between the gate and the target. net/http never sends a POST without
// an idempotency key twice unless nothing of it was written.
func newTargetClient(rt http.RoundTripper) *http.Client {
	if rt != nil {
		return &http.Client{Transport: rt}
	}
	dialer := &net.Dialer{Timeout: targetDialTimeout}
	return &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: targetConns,
		IdleConnTimeout:     time.Minute,
	}}
}

// callTarget runs one task. It reports false if the target was certainly not
// reached.
func (a *Agent) callTarget(ctx context.Context, d *gate.Dispatch) (rep gate.Report, reached bool) {
	ctx, span := telemetry.StartSpan(telemetry.Extract(ctx, d.Trace), "agent → target")
	defer span.End()
	startedAt := a.clock.Now()
	rep = gate.Report{Task: d.Task}
	result, err := a.post(ctx, d)
	rep.Took = a.clock.Now().Sub(startedAt)
	if notReached(err) {
		a.counters.unreached.Inc(1)
		return rep, false
	}
	if err != nil {
		rep.Phase = gate.Errored
		rep.Error = err.Error()
		a.counters.failed.Inc(1)
		return rep, true
	}
	rep.Phase = gate.Succeeded
	rep.Result = result
	a.counters.succeeded.Inc(1)
	return rep, true
}

// notReached reports whether err proves that no byte reached the target.
func notReached(err error) bool {
	op, ok := errors.AsType[*net.OpError](err)
	return ok && op.Op == "dial"
}

func (a *Agent) post(ctx context.Context, d *gate.Dispatch) (result []byte, err error) {
	a.mu.Lock()
	address := a.announced.Address
	a.mu.Unlock()
	payload := d.Payload
	if len(payload) == 0 {
		payload = []byte("null")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+target.RunPath, bytes.NewReader(payload))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(target.KeyHeader, string(d.Task.Job))
	req.Header.Set(target.IndexHeader, strconv.Itoa(d.Task.Index))
	if d.Task.Rerun != "" {
		req.Header.Set(target.RerunHeader, d.Task.Rerun)
	}
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(req.Header))
	resp, err := a.target.Do(req)
	if err != nil {
		return nil, err
	}
	return a.readResult(resp)
}

func (a *Agent) readResult(resp *http.Response) (result []byte, err error) {
	defer func() { _ = resp.Body.Close() }()
	result, err = io.ReadAll(io.LimitReader(resp.Body, int64(a.cfg.MaxResult)+1))
	switch {
	case err != nil:
		return nil, errors.Annotate(err, "reading the result")
	case resp.StatusCode != http.StatusOK:
		return nil, errors.Errorf("status %d: %.200s", resp.StatusCode, bytes.TrimSpace(result))
	case len(result) > a.cfg.MaxResult:
		return nil, errors.Errorf("result over %d bytes", a.cfg.MaxResult)
	}
	return bytes.TrimSpace(result), nil
}
