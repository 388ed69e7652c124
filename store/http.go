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
	// ClientHeader is the header that names the calling process, so that the
	// platform and the simulated platform of the testbed can tell clients apart.
	ClientHeader = "Peridotcrank-Member"
	// maxReplyBytes bounds a reply. A full read of 4,100 VM rows takes about 1.5 MB.
	maxReplyBytes = 64 << 20
	// maxIdleConnections is the largest number of idle connections to the service.
	maxIdleConnections = 4
)

// HTTPTransport implements Transport over HTTP.
type HTTPTransport struct {
	base     string
	client   string
	http     *http.Client
	counters counters
}

// NewHTTPTransport returns a transport to the service at base, for example
// "http://10.0.0.5:7000". client names the calling process. It returns an error
// when base is not of the form http://host:port.
func NewHTTPTransport(base, client string) (*HTTPTransport, error) {
	u, err := url.Parse(base)
	if err != nil || u.Scheme == "" || u.Host == "" {
		return nil, fmt.Errorf("address of the table service: %q is not of the form http://host:port", base)
	}
	t := &HTTPTransport{base: u.Scheme + "://" + u.Host, client: client}
	t.http = newHTTPClient(&t.counters.wire)
	return t, nil
}

func newHTTPClient(counter *wire.Counter) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         counter.DialContext,
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     90 * time.Second,
	}}
}

// Close closes idle connections.
func (t *HTTPTransport) Close() { t.http.CloseIdleConnections() }

// Peer implements Transport.
func (t *HTTPTransport) Peer() string { return t.base }

// ReadRows implements Transport.
func (t *HTTPTransport) ReadRows(ctx context.Context, prefix string, since Version, etag string) (ReadResult, error) {
	t.counters.reads.Add(1)
	q := url.Values{"prefix": {prefix}, "since": {strconv.FormatUint(since, 10)}}
	header := http.Header{}
	if etag != "" {
		header.Set("If-None-Match", etag)
	}
	res, err := t.send(ctx, http.MethodGet, "/v1/rows?"+q.Encode(), nil, header)
	if err != nil {
		return ReadResult{}, err
	}
	defer drainAndClose(res.Body)
	switch res.StatusCode {
	case http.StatusNotModified:
		return ReadResult{ETag: etag, Unchanged: true}, nil
	case http.StatusOK:
		var body struct {
			Revision Version `json:"revision"`
			Rows     []Row   `json:"rows"`
		}
		if err := decode(res.Body, &body); err != nil {
			return ReadResult{}, err
		}
		return ReadResult{Revision: body.Revision, Rows: body.Rows, ETag: res.Header.Get("ETag")}, nil
	}
	return ReadResult{}, statusError(res)
}

// Commit implements Transport.
func (t *HTTPTransport) Commit(ctx context.Context, tx Transaction) (Result, error) {
	t.counters.writes.Add(1)
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

// send sends one request. net/http itself retries a POST only when no byte of
// it was written, because a POST is not idempotent and these requests carry no
// Idempotency-Key.
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

// dialFailed reports whether err means that the connection was never established.
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

// statusError returns the error for an unexpected status code. It wraps
// ErrInvalid for status 400, which proves that the request was not executed.
func statusError(res *http.Response) error {
	text, _ := io.ReadAll(io.LimitReader(res.Body, 256))
	err := fmt.Errorf("status %d: %s", res.StatusCode, bytes.TrimSpace(text))
	if res.StatusCode == http.StatusBadRequest {
		return fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	return err
}

// drainAndClose reads the rest of a small body before closing it, so that the
// connection can be reused.
func drainAndClose(body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, 4<<10)
	_ = body.Close()
}
