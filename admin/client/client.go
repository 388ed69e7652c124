package client

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"os"
	"strings"
	"time"

	"peridotcrank.dev/admin"
)

const (
	stepRequest = "request"
	// maxReplyBytes bounds the size of a reply. A page of 1,000 plans is smaller.
	maxReplyBytes = 64 << 20
	dialTimeout   = 5 * time.Second
	// requestTimeout bounds a request, including the longest watch.
	requestTimeout = admin.MaxWatch + 2*admin.DefaultTimeout
)

// Options configures a [Client].
type Options struct {
	// Server is the URL of the API, such as https://10.0.0.1:8082. Required.
	Server string
	// Token is the operator's bearer token. Required.
	Token string
	// CAFile is the PEM file with the certificate authority of the server.
	// Default: the authorities of the system.
	CAFile string
}

// Client calls the API of one entry process. It is safe for concurrent use.
type Client struct {
	base  *url.URL
	token string
	http  *http.Client
}

// New returns a client, or an error when the options are invalid or CAFile cannot
// be read.
func New(o Options) (*Client, error) {
	base, err := parseServerURL(o.Server)
	if err != nil {
		return nil, err
	}
	if o.Token == "" || len(o.Token) > admin.MaxTokenBytes || strings.ContainsFunc(o.Token, isNotVisibleASCII) {
		return nil, errors.New("client: the token is empty, too long or has invisible characters")
	}
	config := &tls.Config{MinVersion: tls.VersionTLS12}
	if o.CAFile != "" {
		if config.RootCAs, err = readCA(o.CAFile); err != nil {
			return nil, err
		}
	}
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		TLSClientConfig:     config,
		TLSHandshakeTimeout: dialTimeout,
		ForceAttemptHTTP2:   true,
	}
	return &Client{base: base, token: o.Token, http: &http.Client{
		Transport: transport,
		Timeout:   requestTimeout,
		// Following a redirect would send the token to another server.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}, nil
}

// ForAddress returns a client for the API of the entry process at another address,
// with the same scheme and token.
func (c *Client) ForAddress(address string) (*Client, error) {
	base, err := parseServerURL(c.base.Scheme + "://" + address)
	if err != nil {
		return nil, err
	}
	return &Client{base: base, token: c.token, http: c.http}, nil
}

// parseServerURL returns the scheme and host of a server. It refuses servers to
// which the token would be sent unencrypted.
func parseServerURL(server string) (*url.URL, error) {
	u, err := url.Parse(server)
	if err != nil {
		return nil, fmt.Errorf("client: server: %w", err)
	}
	if (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" || strings.Trim(u.Path, "/") != "" || u.RawQuery != "" || u.User != nil {
		return nil, fmt.Errorf("client: server %q: want http://HOST:PORT or https://HOST:PORT", server)
	}
	if u.Scheme == "http" && !isLoopback(u.Hostname()) {
		return nil, fmt.Errorf("client: server %q: the token would be sent without encryption; use https", server)
	}
	return &url.URL{Scheme: u.Scheme, Host: u.Host}, nil
}

// isLoopback reports whether the host is this machine.
func isLoopback(host string) bool {
	ip, err := netip.ParseAddr(host)
	return host == "localhost" || err == nil && ip.IsLoopback()
}

// isNotVisibleASCII reports whether a character is not allowed in a token.
func isNotVisibleASCII(r rune) bool { return r <= ' ' || r > '~' }

// readCA reads a PEM file of certificates.
func readCA(file string) (*x509.CertPool, error) {
	pem, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("client: certificate authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("client: %s holds no certificate in PEM form", file)
	}
	return pool, nil
}

// fetch sends one request and decodes the reply. Writes have a Request-Id. The
// client never retries a request.
func fetch[T any](ctx context.Context, c *Client, method, path, requestID string, body any) (T, error) {
	var value T
	data, err := c.roundTrip(ctx, method, path, requestID, body)
	if err != nil {
		return value, err
	}
	if err := json.Unmarshal(data, &value); err != nil {
		return value, c.transportError(fmt.Errorf("the reply cannot be decoded: %w", err), method)
	}
	return value, nil
}

// roundTrip sends one request and returns the body of a successful reply.
func (c *Client) roundTrip(ctx context.Context, method, path, requestID string, body any) ([]byte, error) {
	request, err := c.newRequest(ctx, method, path, requestID, body)
	if err != nil {
		return nil, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, c.transportError(err, method)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return nil, c.transportError(err, method)
	}
	if response.StatusCode != http.StatusOK {
		return nil, c.replyError(response.StatusCode, data, method)
	}
	return data, nil
}

func (c *Client) newRequest(ctx context.Context, method, path, requestID string, body any) (*http.Request, error) {
	var content []byte
	if body != nil {
		var err error
		if content, err = json.Marshal(body); err != nil {
			return nil, admin.Errorf(admin.CodeInvalid, stepRequest, "%w", err)
		}
	}
	request, err := http.NewRequestWithContext(ctx, method, c.base.String()+path, bytes.NewReader(content))
	if err != nil {
		return nil, admin.Errorf(admin.CodeInvalid, stepRequest, "%w", err)
	}
	request.Header.Set("Authorization", "Bearer "+c.token)
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	if method != http.MethodGet {
		request.Header.Set(admin.HeaderRequestID, requestID)
	}
	return request, nil
}

// transportError returns CodeUnavailable for a read and for a write that was not
// sent. A write without a reply may have taken effect and gets
// CodeOutcomeUnknown.
func (c *Client) transportError(err error, method string) error {
	code := admin.CodeUnavailable
	if method != http.MethodGet && !failedBeforeSending(err) {
		code = admin.CodeOutcomeUnknown
	}
	return &admin.Error{Code: code, Step: stepRequest, Peer: c.base.Host, Message: err.Error(), Cause: err}
}

// failedBeforeSending reports whether the connection failed before the request
// could be written.
func failedBeforeSending(err error) bool {
	var operation *net.OpError
	var certificate *tls.CertificateVerificationError
	var record tls.RecordHeaderError
	return errors.As(err, &operation) && operation.Op == "dial" || errors.As(err, &certificate) || errors.As(err, &record)
}

// replyError returns the error that the server sent, or a transport error when the
// reply is not an error of the API.
func (c *Client) replyError(status int, data []byte, method string) error {
	known := &admin.Error{}
	if err := json.Unmarshal(data, known); err == nil && known.Code != "" && known.Code.Status() == status {
		if known.Peer == "" {
			known.Peer = c.base.Host
		}
		return known
	}
	return c.transportError(fmt.Errorf("status %d without an error of the API", status), method)
}
