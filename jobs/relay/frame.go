package relay

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"

	"google.golang.org/protobuf/proto"
)

// maxMessageBytes limits the size of a message; a job takes at most about 300 KB.
const maxMessageBytes = 4 << 20

const lengthPrefixBytes = 4

func writeMessage(w io.Writer, m proto.Message) error {
	buffer := make([]byte, lengthPrefixBytes, lengthPrefixBytes+proto.Size(m))
	buffer, err := proto.MarshalOptions{}.MarshalAppend(buffer, m)
	if err != nil {
		return fmt.Errorf("encode message: %w", err)
	}
	binary.BigEndian.PutUint32(buffer, uint32(len(buffer)-lengthPrefixBytes))
	_, err = w.Write(buffer)
	return err
}

func readMessage(r io.Reader, message proto.Message) error {
	var length [lengthPrefixBytes]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return err
	}
	n := binary.BigEndian.Uint32(length[:])
	if n > maxMessageBytes {
		return fmt.Errorf("message has %d bytes, more than the limit of %d", n, maxMessageBytes)
	}
	// The buffer grows as bytes arrive. Allocating the announced length would let a peer
	// exhaust memory without sending a body.
	var body bytes.Buffer
	if _, err := io.CopyN(&body, r, int64(n)); err != nil {
		return err
	}
	if err := proto.Unmarshal(body.Bytes(), message); err != nil {
		return fmt.Errorf("decode message: %w", err)
	}
	return nil
}
