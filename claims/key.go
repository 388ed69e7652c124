package claims

import "encoding/binary"

// encode returns a string that differs for different keys: the lengths of the
// first two parts precede them.
func (k Key) encode() (string, error) {
	encoded := make([]byte, 0, len(k.Service)+len(k.Customer)+len(k.Value)+4)
	for _, part := range []string{k.Service, k.Customer} {
		encoded = binary.AppendUvarint(encoded, uint64(len(part)))
		encoded = append(encoded, part...)
	}
	encoded = append(encoded, k.Value...)
	if len(encoded) > MaxKeyLength {
		return "", ErrKeyTooLong
	}
	return string(encoded), nil
}
