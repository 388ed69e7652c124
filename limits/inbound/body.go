package inbound

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"
)

const (
	// maxInitialBytes bounds the first allocation for a body. The buffer grows beyond it only as
	// bytes arrive, so that a declared length occupies no memory.
	maxInitialBytes = 64 << 10
	// unknownLengthBytes is the first allocation for a body of unknown length.
	unknownLengthBytes = 4 << 10
)

// Errors of a body that could not be read.
var (
	ErrBodyTooLong = errors.New("the request body is too long")
	ErrBodyTooSlow = errors.New("the request body did not arrive in time")
)

// Account is what the bytes of a body are reserved from.
type Account interface {
	// Reserve reports false if there is no room for n more bytes.
	Reserve(n int64) bool
}

// ReadAll reads a body into memory. The capacity of the buffer is reserved before it is allocated, and
// grows by doubling as bytes arrive. declared is the length that the sender has announced, or negative, and limit the
// longest body. The error is [ErrBodyTooLong], [ErrNoRoom] or that of the reader.
func ReadAll(r io.Reader, declared, limit int64, account Account) ([]byte, error) {
	if declared > limit {
		return nil, ErrBodyTooLong
	}
	// One byte more than the limit shows a body that exceeds it.
	initial, most := int64(unknownLengthBytes), limit+1
	if declared > 0 {
		initial, most = min(declared, maxInitialBytes), declared
	}
	var body []byte
	for int64(len(body)) < most {
		if len(body) == cap(body) {
			size := min(max(2*int64(cap(body)), initial), most)
			if !account.Reserve(size - int64(cap(body))) {
				return body, ErrNoRoom
			}
			body = append(make([]byte, 0, size), body...)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF {
			break
		}
		if err != nil {
			return body, err
		}
	}
	if int64(len(body)) > limit {
		return body, ErrBodyTooLong
	}
	return body, nil
}

// bodyByteCost is the memory for a byte of a body that a handler decodes: the buffer while it grows, and
// what is decoded from it.
const bodyByteCost = 3

// bodyAccount reserves the bytes of a body from its connection.
type bodyAccount struct{ conn *Conn }

// Reserve implements [Account].
func (a bodyAccount) Reserve(n int64) bool { return a.conn == nil || a.conn.Reserve(bodyByteCost*n) }

// ReadBody reads the body of a request within a time, and marks the request as received. What it
// takes is returned when the request has been answered. The error is [ErrBodyTooLong], [ErrBodyTooSlow], [ErrNoRoom] or that of the
// connection; the rest of the body is not awaited then.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64, timeout time.Duration) ([]byte, error) {
	conn := FromContext(r.Context())
	// net/http sets the deadline of the next request itself. Unsupported only by test recorders.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(timeout))
	body, err := ReadAll(r.Body, r.ContentLength, limit, bodyAccount{conn})
	switch {
	case err == nil:
		if conn != nil {
			conn.BeginServing()
		}
		return body, nil
	case errors.Is(err, os.ErrDeadlineExceeded):
		err = ErrBodyTooSlow
	}
	w.Header().Set("Connection", "close")
	return nil, err
}
