package exchange

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
)

// outgoing is a request in the form that http.Request.Write takes.
type outgoing struct {
	request http.Request
	url     url.URL
	body    bytes.Reader
}

func newOutgoing(req *Request) (*outgoing, error) {
	out := &outgoing{}
	if !isToken(req.Method) {
		return nil, fmt.Errorf("%w: %q", ErrMethod, req.Method)
	}
	if err := setTarget(&out.url, req.Target); err != nil {
		return nil, err
	}
	header := req.Header
	if header == nil {
		header = make(http.Header)
	}
	RemoveHopByHop(header)
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = nil // Keeps http.Request.Write from adding its own.
	}
	out.request = http.Request{
		Method: req.Method, URL: &out.url, Host: req.Host, Header: header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	out.rewind(req)
	return out, nil
}

// isToken reports whether s is a token (RFC 9110, section 5.6.2).
// http.Request.Write does not check the method.
func isToken(s string) bool {
	for i := range len(s) {
		c := s[i]
		alphanumeric := '0' <= c && c <= '9' || 'A' <= c && c <= 'Z' || 'a' <= c && c <= 'z'
		if !alphanumeric && strings.IndexByte("!#$%&'*+-.^_`|~", c) < 0 {
			return false
		}
	}
	return s != ""
}

// rewind sets the body to its beginning.
func (out *outgoing) rewind(req *Request) {
	if len(req.Body) == 0 {
		return
	}
	out.body.Reset(req.Body)
	out.request.ContentLength = int64(len(req.Body))
	out.request.Body = io.NopCloser(&out.body)
}

// setTarget keeps the target as the caller sent it. A target that starts with
// two slashes cannot be opaque, since url.URL would add a scheme.
func setTarget(u *url.URL, target string) error {
	if !strings.HasPrefix(target, "/") || strings.ContainsAny(target, " #") {
		return fmt.Errorf("%w: %q", ErrTarget, target)
	}
	if !strings.HasPrefix(target, "//") {
		u.Opaque = target
		return nil
	}
	parsed, err := url.ParseRequestURI(target)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrTarget, err)
	}
	*u = *parsed
	return nil
}

// writeRequest writes the whole request. The first write to the connection is
// preceded by the request's recheck.
func (cn *conn) writeRequest(out *outgoing, req *Request) error {
	cn.written, cn.writeFailed, cn.recheckErr, cn.beforeWrite = 0, false, nil, req.BeforeWrite
	cn.bw.Reset(connWriter{cn})
	if err := out.request.Write(cn.bw); err != nil {
		return err
	}
	return cn.bw.Flush()
}
