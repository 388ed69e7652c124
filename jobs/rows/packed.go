package rows

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"
)

const (
	// MaxPlainBytes is the size from which a value is compressed.
	MaxPlainBytes = 8 << 10
	// maxUnpackedBytes bounds the memory that a compressed value takes.
	maxUnpackedBytes = 16 << 20
	// packedMark is the first byte of a compressed value. No protobuf message begins with it.
	packedMark = 0
)

// ErrTooLarge means that a value takes more bytes than the store accepts.
var ErrTooLarge = errors.New("the value is larger than a row may be")

// Pack returns a protobuf message as the value of a row: compressed if it is large.
func Pack(message []byte) ([]byte, error) {
	if len(message) <= MaxPlainBytes {
		return message, nil
	}
	packed := bytes.NewBuffer([]byte{packedMark})
	w, err := flate.NewWriter(packed, flate.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("compress value: %w", err)
	}
	if _, err := w.Write(message); err != nil {
		return nil, fmt.Errorf("compress value: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("compress value: %w", err)
	}
	return packed.Bytes(), nil
}

// Unpack returns the message in a value that [Pack] has returned.
func Unpack(value []byte) ([]byte, error) {
	if len(value) == 0 || value[0] != packedMark {
		return value, nil
	}
	message, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(value[1:])), maxUnpackedBytes+1))
	if err != nil {
		return nil, fmt.Errorf("decompress value: %w", err)
	}
	if len(message) > maxUnpackedBytes {
		return nil, fmt.Errorf("decompress value: %w", ErrTooLarge)
	}
	return message, nil
}
