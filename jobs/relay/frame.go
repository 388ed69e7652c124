package relay

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"google.golang.org/protobuf/proto"

	"peridotcrank.dev/limits/inbound"
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

// readMessage reads a message. It returns the number of bytes that it has reserved.
func readMessage(r io.Reader, message proto.Message, account inbound.Account) (reserved int64, err error) {
	var length [lengthPrefixBytes]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return 0, err
	}
	n := int64(binary.BigEndian.Uint32(length[:]))
	counted := &countedAccount{account: account, factor: bufferFactor}
	// The buffer grows as bytes arrive. Allocating the announced length would let a peer
	// exhaust memory without sending a body.
	body, err := inbound.ReadAll(io.LimitReader(r, n), n, maxMessageBytes, counted)
	switch {
	case errors.Is(err, inbound.ErrBodyTooLong):
		return counted.reserved, fmt.Errorf("message has %d bytes, more than the limit of %d", n, maxMessageBytes)
	case err != nil:
		return counted.reserved, err
	case int64(len(body)) < n:
		return counted.reserved, io.ErrUnexpectedEOF
	}
	counted.factor = 1
	if !counted.Reserve(decodedCost(message.ProtoReflect().Descriptor(), body)) {
		return counted.reserved, inbound.ErrNoRoom
	}
	if err := proto.Unmarshal(body, message); err != nil {
		return counted.reserved, fmt.Errorf("decode message: %w", err)
	}
	return counted.reserved, nil
}

// bufferFactor is the memory for a byte of a message while its buffer grows by doubling.
const bufferFactor = 2

// countedAccount counts what a message reserves.
type countedAccount struct {
	account  inbound.Account
	factor   int64 // Of what is reserved.
	reserved int64
}

// Reserve implements [inbound.Account].
func (a *countedAccount) Reserve(n int64) bool {
	if !a.account.Reserve(a.factor * n) {
		return false
	}
	a.reserved += a.factor * n
	return true
}
