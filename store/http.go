package store

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"peridotcrank.dev/eventlog/wire"
)

const (
	// ClientHeader names the calling process, so that the platform and its
	// stand-in can tell clients apart.
	ClientHeader = "Peridotcrank-Member"
	// maxReplyBytes bounds a reply. A full read of 4,100 VM rows takes about 1.5 MB.
	maxReplyBytes = 64 << 20
	// idleConnections is the number of connections kept open to the service.
	idleConnections = 4
)

// HTTPTransport reaches the table service over HTTP.
type HTTPTransport struct {
	base   string
	client string
	http   *http.Client
	counts counts
}

// NewHTTPTransport returns a transport to the service at base, for example
// "http://10.0.0.5:7000". client names the calling process.
func NewHTTPTransport(base, client string) (*HTTPTransport, error) {
	u, err := url.Parse(base)
	if err != nil || u.Scheme == "" || u.Host == "" {
		return nil, fmt.Errorf("address of the table service: %q is not of the form http://host:port", base)
	}
	t := &HTTPTransport{base: u.Scheme + "://" + u.Host, client: client}
	t.http = newHTTPClient(&t.counts.wire)
	return t, nil
}

func newHTTPClient(counter *wire.Counter) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         counter.DialContext,
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     90 * time.Second,
	}}
}

// Close closes idle connections.
func (t *HTTPTransport) Close() { t.http.CloseIdleConnections() }

// Peer implements Transport.
func (t *HTTPTransport) Peer() string { return t.base }

// Rows implements Transport.
func (t *HTTPTransport) Rows(ctx context.Context, prefix string, since Version, etag string) (Rows, error) {
	t.counts.reads.Add(1)
	q := url.Values{"prefix": {prefix}, "since": {strconv.FormatUint(since, 10)}}
	header := http.Header{}
	if etag != "" {
		header.Set("If-None-Match", etag)
	}
	res, err := t.send(ctx, http.MethodGet, "/v1/rows?"+q.Encode(), nil, header)
	if err != nil {
		return Rows{}, err
	}
	defer drainAndClose(res.Body)
	switch res.StatusCode {
	case http.StatusNotModified:
		return Rows{ETag: etag, Unchanged: true}, nil
	case http.StatusOK:
		var body struct {
			Revision Version `json:"revision"`
			Rows     []Row   `json:"rows"`
		}
		if err := decode(res.Body, &body); err != nil {
			return Rows{}, err
		}
		return Rows{Revision: body.Revision, Rows: body.Rows, ETag: res.Header.Get("ETag")}, nil
	}
	return Rows{}, statusError(res)
}

// Commit implements Transport.
func (t *HTTPTransport) Commit(ctx context.Context, tx Transaction) (Result, error) {
	t.counts.writes.Add(1)
	body, err := json.Marshal(tx)
	if err != nil {
		return Result{}, fmt.Errorf("encode transaction: %w: %w", ErrInvalid, err)
	}
	res, err := t.send(ctx, http.MethodPost, "/v1/commit", body, nil)
	if err != nil {
		return Result{}, err
	}
	defer drainAndClose(res.Body)
	switch res.StatusCode {
	case http.StatusOK:
		var reply struct {
			Revision Version `json:"revision"`
		}
		if err := decode(res.Body, &reply); err != nil {
			return Result{}, err
		}
		return Result{Outcome: OutcomeApplied, Revision: reply.Revision, Operation: tx.Operation}, nil
	case http.StatusConflict:
		var reply struct {
			Failed []Condition `json:"failed"`
		}
		if err := decode(res.Body, &reply); err != nil {
			return Result{}, err
		}
		return Result{Outcome: OutcomeRejected, Failed: reply.Failed, Operation: tx.Operation}, nil
	}
	return Result{}, statusError(res)
}

// send sends one request. net/http repeats a request on its own only when no
// byte of it was written, because neither method used here carries an
// Idempotency-Key and a POST is not idempotent.
func (t *HTTPTransport) send(ctx context.Context, method, path string, body []byte, header http.Header) (*http.Response, error) {
	var reader io.Reader
	if body != nil {
		reader = bytes.NewReader(body)
	}
	req, err := http.NewRequestWithContext(ctx, method, t.base+path, reader)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	for k, v := range header {
		req.Header[k] = v
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	if t.client != "" {
		req.Header.Set(ClientHeader, t.client)
	}
	res, err := t.http.Do(req)
	if err != nil && dialFailed(err) {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return res, err
}

// dialFailed reports whether the connection was never established.
func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func decode(r io.Reader, into any) error {
	if err := json.NewDecoder(io.LimitReader(r, maxReplyBytes)).Decode(into); err != nil {
		return fmt.Errorf("decode reply: %w", err)
	}
	return nil
}

// statusError turns an unexpected status into an error. A 400 proves that the
// request was not executed.
func statusError(res *http.Response) error {
	text, _ := io.ReadAll(io.LimitReader(res.Body, 256))
	err := fmt.Errorf("status %d: %s", res.StatusCode, bytes.TrimSpace(text))
	if res.StatusCode == http.StatusBadRequest {
		return fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	return err
}

// drainAndClose reads the rest of a small body, so that the connection is reused.
func drainAndClose(body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, 4<<10)
	_ = body.Close()
}
