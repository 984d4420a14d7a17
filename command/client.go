package command

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"
	"github.com/zeromicro/go-zero/rest/httpc"

	"masticbay/entry"
)

func entryFlag() cli.Flag {
	return &cli.StringFlag{
		Name: "entry", Value: "http://127.0.0.1:7401", Sources: cli.EnvVars("MASTICBAY_ENTRY"),
		Usage: "`URL` of an entry",
	}
}

func outputFlag() cli.Flag {
	return &cli.StringFlag{
		Name: "output", Value: "text", Usage: "output `FORMAT`: text or json",
		Validator: func(s string) error {
			if s != "text" && s != "json" {
				return usagef("--output: %q is not allowed; want text or json", s)
			}
			return nil
		},
	}
}

// problemError is the error reply of an entry.
type problemError struct {
	status int
	entry.Problem
}

func (e *problemError) Error() string {
	return e.Code + ": " + e.Message + " (started: " + e.Started + ")"
}

const replyTimeout = 2 * time.Minute

// callEntry sends a request to an entry and decodes the reply into R. An error
// reply is returned as a *problemError.
func callEntry[R any](ctx context.Context, cmd *cli.Command, method, path string, body any) (rep R, err error) {
	defer func() { err = errors.Annotatef(err, "%s %s", method, path) }()
	ctx, cancel := context.WithTimeout(ctx, replyTimeout)
	defer cancel()
	var payload io.Reader
	if body != nil {
		raw, err := json.Marshal(body)
		if err != nil {
			return rep, err
		}
		payload = bytes.NewReader(raw)
	}
	req, err := http.NewRequestWithContext(ctx, method, cmd.String("entry")+path, payload)
	if err != nil {
		return rep, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := httpc.DoRequest(req)
	if err != nil {
		return rep, err
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return rep, err
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return rep, decodeProblem(resp.StatusCode, raw)
	}
	return rep, json.Unmarshal(raw, &rep)
}

func decodeProblem(status int, raw []byte) error {
	p := &problemError{status: status}
	if err := json.Unmarshal(raw, &p.Problem); err != nil {
		return errors.Errorf("status %d: %.200s", status, bytes.TrimSpace(raw))
	}
	return p
}

// printOutput prints v as JSON if --output is json, and calls text otherwise.
func printOutput(cmd *cli.Command, v any, text func(w io.Writer)) error {
	if cmd.String("output") != "json" {
		text(os.Stdout)
		return nil
	}
	enc := json.NewEncoder(os.Stdout)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}
