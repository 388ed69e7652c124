package framing

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
)

// ErrFraming reports ambiguous framing.
var ErrFraming = errors.New("ambiguous request framing")

func violation(what string) error { return fmt.Errorf("%w: %s", ErrFraming, what) }

// maxLineBytes bounds a partial line that is kept until its end arrives. It
// exceeds every header limit of the server.
const maxLineBytes = 1 << 20

// keptPartialBytes bounds the memory that an idle connection keeps.
const keptPartialBytes = 4 << 10

// state is the part of a message that comes next.
type state uint8

const (
	stateRequestLine state = iota
	stateHeader
	stateBody      // remaining bytes of data with a declared length
	stateChunkSize // the line before a chunk
	stateChunkData // remaining bytes of a chunk
	stateChunkEnd  // the line end after a chunk
	stateTrailer
)

// scanner follows the framing of the requests on one connection.
type scanner struct {
	state     state
	partial   []byte // Beginning of a line whose end has not arrived.
	remaining int64  // Bytes left of a body or chunk.

	// Fields of the header being scanned.
	http10  bool
	lengths int // Content-Length fields.
	length  int64
	codings int // Transfer-Encoding fields.
}

// scan follows p. On a violation it returns the number of bytes before the
// offending line.
func (s *scanner) scan(p []byte) (int, error) {
	pos := 0
	for pos < len(p) {
		if s.state == stateBody || s.state == stateChunkData {
			n := min(s.remaining, int64(len(p)-pos))
			pos += int(n)
			if s.remaining -= n; s.remaining == 0 {
				s.dataEnd()
			}
			continue
		}
		end := bytes.IndexByte(p[pos:], '\n')
		if end < 0 {
			if len(s.partial)+len(p)-pos > maxLineBytes {
				return pos, violation("a line is too long")
			}
			s.partial = append(s.partial, p[pos:]...)
			return len(p), nil
		}
		line := p[pos : pos+end+1]
		if len(s.partial) > 0 {
			s.partial = append(s.partial, line...)
			line = s.partial
		}
		err := s.line(line)
		s.resetPartial()
		if err != nil {
			return pos, err
		}
		pos += end + 1
	}
	return pos, nil
}

// resetPartial keeps small buffers for the next partial line.
func (s *scanner) resetPartial() {
	s.partial = s.partial[:0]
	if cap(s.partial) > keptPartialBytes {
		s.partial = nil
	}
}

func (s *scanner) dataEnd() {
	if s.state == stateChunkData {
		s.state = stateChunkEnd
		return
	}
	s.state = stateRequestLine
}

// line processes a whole line including its line feed.
func (s *scanner) line(line []byte) error {
	line, ok := bytes.CutSuffix(line, lineEnd)
	if !ok {
		return violation("a line ends without a carriage return")
	}
	switch s.state {
	case stateRequestLine:
		s.requestLine(line)
	case stateHeader:
		return s.headerLine(line)
	case stateChunkSize:
		return s.chunkSize(line)
	case stateChunkEnd:
		if len(line) > 0 {
			return violation("a chunk is longer than its size")
		}
		s.state = stateChunkSize
	case stateTrailer:
		if len(line) == 0 {
			s.state = stateRequestLine
		} else if folded(line) {
			return violation("a trailer line is folded")
		}
	}
	return nil
}

// requestLine starts a header. Empty lines before it are skipped, as net/http
// does after a POST.
func (s *scanner) requestLine(line []byte) {
	if len(line) == 0 {
		return
	}
	*s = scanner{state: stateHeader, partial: s.partial, http10: !bytes.HasSuffix(line, []byte("HTTP/1.1"))}
}

func folded(line []byte) bool { return line[0] == ' ' || line[0] == '\t' }

func (s *scanner) headerLine(line []byte) error {
	if len(line) == 0 {
		s.headerEnd()
		return nil
	}
	if folded(line) {
		return violation("a header line is folded")
	}
	name, value, _ := bytes.Cut(line, []byte(":"))
	switch {
	case isField(name, "Content-Length"):
		return s.contentLength(value)
	case isField(name, "Transfer-Encoding"):
		return s.transferEncoding(value)
	}
	return nil
}

func isField(name []byte, field string) bool {
	return len(name) == len(field) && bytes.EqualFold(name, []byte(field))
}

func (s *scanner) contentLength(value []byte) error {
	s.lengths++
	if s.lengths > 1 {
		return violation("Content-Length is repeated")
	}
	if s.codings > 0 {
		return violation("both Transfer-Encoding and Content-Length are present")
	}
	n, err := strconv.ParseUint(string(bytes.Trim(value, " \t")), 10, 63)
	if err != nil {
		return violation("Content-Length is not a number")
	}
	s.length = int64(n)
	return nil
}

func (s *scanner) transferEncoding(value []byte) error {
	s.codings++
	switch {
	case s.codings > 1:
		return violation("Transfer-Encoding is repeated")
	case s.lengths > 0:
		return violation("both Transfer-Encoding and Content-Length are present")
	case s.http10:
		return violation("Transfer-Encoding is present in an HTTP/1.0 request")
	case !bytes.EqualFold(bytes.Trim(value, " \t"), []byte("chunked")):
		return violation("the transfer coding is unknown")
	}
	return nil
}

func (s *scanner) headerEnd() {
	switch {
	case s.codings > 0:
		s.state = stateChunkSize
	case s.length > 0:
		s.state, s.remaining = stateBody, s.length
	default:
		s.state = stateRequestLine
	}
}

func (s *scanner) chunkSize(line []byte) error {
	digits, _, _ := bytes.Cut(line, []byte(";"))
	size, err := strconv.ParseUint(string(bytes.TrimRight(digits, " \t")), 16, 63)
	if err != nil {
		return violation("a chunk size is not a number")
	}
	s.state, s.remaining = stateChunkData, int64(size)
	if size == 0 {
		s.state = stateTrailer
	}
	return nil
}
