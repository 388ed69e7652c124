package framing

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"testing"
)

// Guards against a scanner that misses the boundary between two requests and so
// does not check the second one. The result must not depend on how the bytes are
// split. Where net/http ends a request that the scanner accepts, the scanner must
// expect a request line.
func FuzzScannerAgreesWithNetHTTP(f *testing.F) {
	const head = "POST / HTTP/1.1\r\nHost: h\r\n"
	for _, seed := range []string{
		head + "Content-Length: 3\r\n\r\nabc" + head + "\r\n",
		head + "Transfer-Encoding: chunked\r\n\r\n3;a=b\r\nabc\r\n0\r\nT: v\r\n\r\n" + head + "\r\n",
		head + "Transfer-Encoding: chunked\r\n\r\n0 \r\n\r\n\r\n\r\n" + head + "\r\n",
		"GET / HTTP/1.0\r\nContent-Length: 1\r\n\r\nx",
		head + "Content-Length: 2\r\nContent-Length: 2\r\n\r\nab",
		head + "content-length:\t2 \r\nX: y\r\n\tz\r\n\r\nab",
	} {
		f.Add([]byte(seed), uint16(20))
	}
	f.Fuzz(func(t *testing.T, text []byte, split uint16) {
		var whole, parts scanner
		good, err := whole.scan(bytes.Clone(text))
		at := min(int(split), len(text))
		first, partErr := parts.scan(bytes.Clone(text[:at]))
		if partErr == nil {
			first, partErr = parts.scan(bytes.Clone(text[at:]))
			first += at
		}
		if (err == nil) != (partErr == nil) || err == nil && (good != first || whole.state != parts.state) {
			t.Fatalf("whole: %d, %v; split at %d: %d, %v", good, err, at, first, partErr)
		}
		checkBoundaries(t, text)
	})
}

// checkBoundaries fails when the scanner accepts a request but does not end it
// where net/http does.
func checkBoundaries(t *testing.T, text []byte) {
	source := bytes.NewReader(text)
	br := bufio.NewReader(source)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		end := len(text) - source.Len() - br.Buffered()
		var s scanner
		if _, err := s.scan(bytes.Clone(text[:end])); err == nil && (s.state != stateRequestLine || len(s.partial) > 0) {
			t.Fatalf("net/http ends a request at %d, the scanner is in state %d", end, s.state)
		}
	}
}
