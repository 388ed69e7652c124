package exchange

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
)

// outgoingRequest is a Request in the form that http.Request.Write takes.
type outgoingRequest struct {
	request http.Request
	url     url.URL
	body    bytes.Reader
}

// newOutgoingRequest validates the method and the target and removes hop-by-hop
// fields from the header of req in place.
func newOutgoingRequest(req *Request) (*outgoingRequest, error) {
	out := &outgoingRequest{}
	if !isToken(req.Method) {
		return nil, fmt.Errorf("%w: %q", ErrInvalidMethod, req.Method)
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
		header["User-Agent"] = nil // Prevents http.Request.Write from adding its default.
	}
	out.request = http.Request{
		Method: req.Method, URL: &out.url, Host: req.Host, Header: header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	out.resetBody(req)
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

// resetBody makes the body readable from its start, so that it can be written again.
func (out *outgoingRequest) resetBody(req *Request) {
	if len(req.Body) == 0 {
		return
	}
	out.body.Reset(req.Body)
	out.request.ContentLength = int64(len(req.Body))
	out.request.Body = io.NopCloser(&out.body)
}

// setTarget sets the URL so that http.Request.Write sends the target unchanged. A
// target that starts with two slashes cannot be set as Opaque, since url.URL would
// add a scheme.
func setTarget(u *url.URL, target string) error {
	if !strings.HasPrefix(target, "/") || strings.ContainsAny(target, " #") {
		return fmt.Errorf("%w: %q", ErrInvalidTarget, target)
	}
	if !strings.HasPrefix(target, "//") {
		u.Opaque = target
		return nil
	}
	parsed, err := url.ParseRequestURI(target)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrInvalidTarget, err)
	}
	*u = *parsed
	return nil
}

// writeRequest writes the whole request. BeforeWrite runs before the first write
// to the connection.
func (cn *conn) writeRequest(out *outgoingRequest, req *Request) error {
	cn.written, cn.writeFailed, cn.beforeWriteErr, cn.beforeWrite = 0, false, nil, req.BeforeWrite
	cn.bw.Reset(connWriter{cn})
	if err := out.request.Write(cn.bw); err != nil {
		return err
	}
	return cn.bw.Flush()
}
