package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"
)

// beat sends heartbeats to an agent until ctx ends.
func (w *worker) beat(ctx context.Context, agent string) {
	for ctx.Err() == nil {
		pause := beatInterval
		if w.beatOnce(ctx, agent) != nil {
			pause = beatInterval / 5
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

func (w *worker) beatOnce(ctx context.Context, agent string) error {
	w.wd.mu.Lock()
	if w.down {
		w.wd.mu.Unlock()
		return nil
	}
	w.seq++
	body, err := json.Marshal(map[string]any{
		"service": w.service, "address": w.id, "zone": "z", "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0,
		"capacity": map[string]int{"cpu": w.cpu, "memMb": w.mem, "gpus": 0}, "labels": w.labels,
		"clockMs": w.clock().Milliseconds(), "born": w.born.UnixMilli(), "seq": w.seq,
	})
	w.wd.mu.Unlock()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+agent+"/masticbay/instances/"+w.id+"/heartbeat", bytes.NewReader(body))
	if err != nil {
		return err
	}
	r.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}
