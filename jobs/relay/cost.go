package relay

import (
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/reflect/protoreflect"
)

const (
	// messageCost is the memory of a decoded message without its contents. An empty one takes two
	// bytes on the wire.
	messageCost = 256
	// valueCost is the memory of a decoded value in a list, without its contents.
	valueCost = 32
)

// decodedCost returns the memory that the decoded form of a message takes at most. It reads malformed
// data up to the first fault, like the decoder.
func decodedCost(d protoreflect.MessageDescriptor, data []byte) int64 {
	cost := int64(messageCost)
	for len(data) > 0 {
		number, kind, n := protowire.ConsumeTag(data)
		if n < 0 {
			return cost
		}
		data = data[n:]
		size := protowire.ConsumeFieldValue(number, kind, data)
		if size < 0 {
			return cost
		}
		cost += valueCost
		field := d.Fields().ByNumber(number)
		switch {
		case field != nil && field.Message() != nil && kind == protowire.BytesType:
			content, _ := protowire.ConsumeBytes(data)
			cost += decodedCost(field.Message(), content)
		case field != nil && field.IsList() && kind == protowire.BytesType:
			cost += (1 + valueCost) * int64(size) // A packed list has a value in each byte.
		default:
			cost += int64(size)
		}
		data = data[size:]
	}
	return cost
}
