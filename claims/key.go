package claims

import "encoding/binary"

// encode returns a string that is unique for the key, because the first two parts
// are preceded by their lengths. It returns ErrKeyTooLong if the string is longer
// than MaxKeyLength.
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
