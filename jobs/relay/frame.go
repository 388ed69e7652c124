package relay

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"

	"google.golang.org/protobuf/proto"
)

// maxMessageBytes bounds a message; a job takes at most about 300 KB.
const maxMessageBytes = 4 << 20

const lengthBytes = 4

func writeMessage(w io.Writer, m proto.Message) error {
	buffer := make([]byte, lengthBytes, lengthBytes+proto.Size(m))
	buffer, err := proto.MarshalOptions{}.MarshalAppend(buffer, m)
	if err != nil {
		return fmt.Errorf("encode message: %w", err)
	}
	binary.BigEndian.PutUint32(buffer, uint32(len(buffer)-lengthBytes))
	_, err = w.Write(buffer)
	return err
}

func readMessage(r io.Reader, into proto.Message) error {
	var length [lengthBytes]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return err
	}
	n := binary.BigEndian.Uint32(length[:])
	if n > maxMessageBytes {
		return fmt.Errorf("message of %d bytes: want at most %d", n, maxMessageBytes)
	}
	// Memory is taken as bytes arrive, not for the length that a peer states.
	var body bytes.Buffer
	if _, err := io.CopyN(&body, r, int64(n)); err != nil {
		return err
	}
	if err := proto.Unmarshal(body.Bytes(), into); err != nil {
		return fmt.Errorf("decode message: %w", err)
	}
	return nil
}
