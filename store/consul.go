package store

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/juju/errors"
	"github.com/zeromicro/go-zero/rest/httpc"
)

// Consul is a Store that uses Consul's HTTP API.
type Consul struct {
	base string
	http httpc.Service
}

const (
	callTimeout  = 3 * time.Second
	idleConns    = 8
	maxReplySize = 64 << 20 // bytes
)

// NewConsul returns a Store at the base URL, such as "http://127.0.0.1:8500".
// The circuit breaker of its HTTP client keeps retries from adding to an
// overload; a call that it refuses is not sent.
func NewConsul(base string) *Consul {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idleConns, IdleConnTimeout: time.Minute}}
	return &Consul{base: base, http: httpc.NewServiceWithClient("keyValueService "+base, client)}
}

// consulPair is a key with its value in replies of the API.
type consulPair struct {
	Key         string
	Value       []byte
	ModifyIndex uint64
	Session     string `json:",omitempty"`
}

// consulTxn is one operation of a transaction, or its result.
type consulTxn struct {
	KV consulTxnKV
}

type consulTxnKV struct {
	Verb        string `json:",omitempty"`
	Key         string
	Value       []byte `json:",omitempty"`
	Index       uint64 `json:",omitempty"`
	ModifyIndex uint64 `json:",omitempty"`
}

// consulTxnReply is the reply to a transaction.
type consulTxnReply struct {
	Results []consulTxn
}

// consulSession is a session, the API's form of a lease.
type consulSession struct {
	ID        string `json:",omitempty"`
	TTL       string `json:",omitempty"`
	Behavior  string `json:",omitempty"`
	LockDelay string `json:",omitempty"`
}

// reply holds the used parts of an HTTP reply.
type reply struct {
	status int
	index  uint64 // the store's revision; 0 if the reply has none
	body   []byte
}

// call sends a request and reads the reply. The error has the cause
// ErrUnavailable if no complete reply arrives or its status is 500 or higher.
func (c *Consul) call(ctx context.Context, method, path string, body any, timeout time.Duration) (r reply, err error) {
	defer func() { err = errors.Annotatef(err, "%s %s", method, path) }()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := c.request(ctx, method, path, body)
	if err != nil {
		return reply{}, err
	}
	resp, err := c.http.DoRequest(req)
	if err != nil {
		return reply{}, errors.WithType(err, ErrUnavailable)
	}
	defer func() { _ = resp.Body.Close() }()
	r.status = resp.StatusCode
	r.index, _ = strconv.ParseUint(resp.Header.Get("X-Consul-Index"), 10, 64)
	r.body, err = io.ReadAll(io.LimitReader(resp.Body, maxReplySize))
	if err != nil || r.status >= http.StatusInternalServerError {
		return r, errors.WithType(errors.Errorf("status %d: %.200s", r.status, r.body), ErrUnavailable)
	}
	return r, nil
}

func (c *Consul) request(ctx context.Context, method, path string, body any) (*http.Request, error) {
	var payload io.Reader
	switch b := body.(type) {
	case nil:
	case []byte:
		payload = bytes.NewReader(b)
	default:
		raw, err := json.Marshal(b)
		if err != nil {
			return nil, err
		}
		payload = bytes.NewReader(raw)
	}
	return http.NewRequestWithContext(ctx, method, c.base+path, payload)
}

func keyPath(key string, query url.Values) string {
	u := url.URL{Path: "/v1/kv/" + key, RawQuery: query.Encode()}
	return u.String()
}

// Get implements Store.
func (c *Consul) Get(ctx context.Context, key string) (Item, error) {
	r, err := c.call(ctx, http.MethodGet, keyPath(key, nil), nil, callTimeout)
	if err != nil {
		return Item{Key: key}, err
	}
	items, err := decodePairs(r)
	if err != nil || len(items) == 0 {
		return Item{Key: key}, errors.Annotate(orNotFound(err), key)
	}
	return items[0], nil
}

func orNotFound(err error) error {
	if err != nil {
		return err
	}
	return ErrNotFound
}

func decodePairs(r reply) (items []Item, err error) {
	if r.status == http.StatusNotFound {
		return nil, nil
	}
	var pairs []consulPair
	if err := json.Unmarshal(r.body, &pairs); err != nil {
		return nil, errors.Annotate(err, "reading a reply of the key-value service")
	}
	for _, p := range pairs {
		items = append(items, Item{Key: p.Key, Value: p.Value, Revision: p.ModifyIndex})
	}
	return items, nil
}

// List implements Store.
func (c *Consul) List(ctx context.Context, prefix string) ([]Item, uint64, error) {
	return c.list(ctx, prefix, url.Values{"recurse": {"true"}}, callTimeout)
}

// Watch implements Store.
func (c *Consul) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Item, uint64, error) {
	query := url.Values{
		"recurse": {"true"},
		"index":   {strconv.FormatUint(after, 10)},
		"wait":    {strconv.FormatInt(wait.Milliseconds(), 10) + "ms"},
	}
	return c.list(ctx, prefix, query, wait+callTimeout)
}

func (c *Consul) list(ctx context.Context, prefix string, query url.Values, timeout time.Duration) ([]Item, uint64, error) {
	r, err := c.call(ctx, http.MethodGet, keyPath(prefix, query), nil, timeout)
	if err != nil {
		return nil, 0, err
	}
	items, err := decodePairs(r)
	return items, r.index, err
}

// CompareAndSwap implements Store.
func (c *Consul) CompareAndSwap(ctx context.Context, key string, value []byte, rev uint64) (uint64, bool, error) {
	if len(value) > MaxValue {
		return 0, false, errors.Annotate(ErrTooLarge, key)
	}
	txn := []consulTxn{{KV: consulTxnKV{Verb: "cas", Key: key, Value: value, Index: rev}}}
	r, err := c.call(ctx, http.MethodPut, "/v1/txn", txn, callTimeout)
	if err != nil {
		return 0, false, err
	}
	if r.status == http.StatusConflict {
		return 0, false, nil
	}
	var txnReply consulTxnReply
	if err := json.Unmarshal(r.body, &txnReply); err != nil || len(txnReply.Results) != 1 {
		return 0, false, errors.WithType(errors.Errorf("unexpected reply to a write of %s: %.200s", key, r.body), ErrUnavailable)
	}
	return txnReply.Results[0].KV.ModifyIndex, true, nil
}

// Grant implements Store.
func (c *Consul) Grant(ctx context.Context, ttl time.Duration) (string, error) {
	s := consulSession{TTL: ttl.String(), Behavior: "delete", LockDelay: "0s"}
	r, err := c.call(ctx, http.MethodPut, "/v1/session/create", s, callTimeout)
	if err != nil {
		return "", err
	}
	err = json.Unmarshal(r.body, &s)
	return s.ID, errors.Annotate(err, "reading a session")
}

// Renew implements Store.
func (c *Consul) Renew(ctx context.Context, lease string) error {
	r, err := c.call(ctx, http.MethodPut, "/v1/session/renew/"+url.PathEscape(lease), nil, callTimeout)
	if err == nil && r.status == http.StatusNotFound {
		return errors.Trace(ErrNoLease)
	}
	return err
}

// PutLeased implements Store.
func (c *Consul) PutLeased(ctx context.Context, key string, value []byte, lease string) error {
	r, err := c.call(ctx, http.MethodPut, keyPath(key, url.Values{"acquire": {lease}}), value, callTimeout)
	if err == nil && string(bytes.TrimSpace(r.body)) != "true" {
		return errors.Trace(ErrNoLease)
	}
	return err
}

// Revoke implements Store.
func (c *Consul) Revoke(ctx context.Context, lease string) error {
	_, err := c.call(ctx, http.MethodPut, "/v1/session/destroy/"+url.PathEscape(lease), nil, callTimeout)
	return err
}
