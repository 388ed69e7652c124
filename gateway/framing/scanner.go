package framing

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
)

// ErrFraming reports ambiguous framing.
var ErrFraming = errors.New("ambiguous request framing")

// newFramingError returns an error that wraps ErrFraming.
func newFramingError(what string) error { return fmt.Errorf("%w: %s", ErrFraming, what) }

// maxLineBytes bounds an incomplete line that is buffered until its end arrives.
// It exceeds every header limit of the server.
const maxLineBytes = 1 << 20

// maxKeptPartialBytes bounds the line buffer that an idle connection keeps.
const maxKeptPartialBytes = 4 << 10

// state is the part of a request that the scanner expects next.
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

// scanner parses the framing of the requests on one connection.
type scanner struct {
	state     state
	partial   []byte // Start of a line whose end has not arrived.
	remaining int64  // Remaining bytes of a body or chunk.

	// Fields of the header being scanned.
	http10                 bool
	contentLengthFields    int // Number of Content-Length fields.
	contentLength          int64
	transferEncodingFields int // Number of Transfer-Encoding fields.
}

// scan parses the next bytes of the connection. It returns len(p), or an error
// and the number of bytes before the invalid line.
func (s *scanner) scan(p []byte) (int, error) {
	pos := 0
	for pos < len(p) {
		if s.state == stateBody || s.state == stateChunkData {
			n := min(s.remaining, int64(len(p)-pos))
			pos += int(n)
			if s.remaining -= n; s.remaining == 0 {
				s.finishData()
			}
			continue
		}
		end := bytes.IndexByte(p[pos:], '\n')
		if end < 0 {
			if len(s.partial)+len(p)-pos > maxLineBytes {
				return pos, newFramingError("a line is too long")
			}
			s.partial = append(s.partial, p[pos:]...)
			return len(p), nil
		}
		line := p[pos : pos+end+1]
		if len(s.partial) > 0 {
			s.partial = append(s.partial, line...)
			line = s.partial
		}
		err := s.scanLine(line)
		s.resetPartial()
		if err != nil {
			return pos, err
		}
		pos += end + 1
	}
	return pos, nil
}

// resetPartial empties the line buffer and frees it when it is large.
func (s *scanner) resetPartial() {
	s.partial = s.partial[:0]
	if cap(s.partial) > maxKeptPartialBytes {
		s.partial = nil
	}
}

// finishData sets the state after the last byte of a body or chunk.
func (s *scanner) finishData() {
	if s.state == stateChunkData {
		s.state = stateChunkEnd
		return
	}
	s.state = stateRequestLine
}

// scanLine processes a complete line that ends with a line feed.
func (s *scanner) scanLine(line []byte) error {
	line, ok := bytes.CutSuffix(line, crlf)
	if !ok {
		return newFramingError("a line ends without a carriage return")
	}
	switch s.state {
	case stateRequestLine:
		s.scanRequestLine(line)
	case stateHeader:
		return s.scanHeaderLine(line)
	case stateChunkSize:
		return s.scanChunkSize(line)
	case stateChunkEnd:
		if len(line) > 0 {
			return newFramingError("a chunk is longer than its size")
		}
		s.state = stateChunkSize
	case stateTrailer:
		if len(line) == 0 {
			s.state = stateRequestLine
		} else if isFolded(line) {
			return newFramingError("a trailer line is folded")
		}
	}
	return nil
}

// scanRequestLine starts the header of a request. It skips empty lines before the
// request line, as net/http does after a POST.
func (s *scanner) scanRequestLine(line []byte) {
	if len(line) == 0 {
		return
	}
	*s = scanner{state: stateHeader, partial: s.partial, http10: !bytes.HasSuffix(line, []byte("HTTP/1.1"))}
}

// isFolded reports whether the line continues the one before it.
func isFolded(line []byte) bool { return line[0] == ' ' || line[0] == '\t' }

func (s *scanner) scanHeaderLine(line []byte) error {
	if len(line) == 0 {
		s.finishHeader()
		return nil
	}
	if isFolded(line) {
		return newFramingError("a header line is folded")
	}
	name, value, _ := bytes.Cut(line, []byte(":"))
	switch {
	case isField(name, "Content-Length"):
		return s.scanContentLength(value)
	case isField(name, "Transfer-Encoding"):
		return s.scanTransferEncoding(value)
	}
	return nil
}

func isField(name []byte, field string) bool {
	return len(name) == len(field) && bytes.EqualFold(name, []byte(field))
}

func (s *scanner) scanContentLength(value []byte) error {
	s.contentLengthFields++
	if s.contentLengthFields > 1 {
		return newFramingError("Content-Length is repeated")
	}
	if s.transferEncodingFields > 0 {
		return newFramingError("both Transfer-Encoding and Content-Length are present")
	}
	n, err := strconv.ParseUint(string(bytes.Trim(value, " \t")), 10, 63)
	if err != nil {
		return newFramingError("Content-Length is not a number")
	}
	s.contentLength = int64(n)
	return nil
}

func (s *scanner) scanTransferEncoding(value []byte) error {
	s.transferEncodingFields++
	switch {
	case s.transferEncodingFields > 1:
		return newFramingError("Transfer-Encoding is repeated")
	case s.contentLengthFields > 0:
		return newFramingError("both Transfer-Encoding and Content-Length are present")
	case s.http10:
		return newFramingError("Transfer-Encoding is present in an HTTP/1.0 request")
	case !bytes.EqualFold(bytes.Trim(value, " \t"), []byte("chunked")):
		return newFramingError("the transfer coding is unknown")
	}
	return nil
}

// finishHeader sets the state after the empty line that ends a header.
func (s *scanner) finishHeader() {
	switch {
	case s.transferEncodingFields > 0:
		s.state = stateChunkSize
	case s.contentLength > 0:
		s.state, s.remaining = stateBody, s.contentLength
	default:
		s.state = stateRequestLine
	}
}

func (s *scanner) scanChunkSize(line []byte) error {
	digits, _, _ := bytes.Cut(line, []byte(";"))
	size, err := strconv.ParseUint(string(bytes.TrimRight(digits, " \t")), 16, 63)
	if err != nil {
		return newFramingError("a chunk size is not a number")
	}
	s.state, s.remaining = stateChunkData, int64(size)
	if size == 0 {
		s.state = stateTrailer
	}
	return nil
}
