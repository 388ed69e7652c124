package peer

import (
	"fmt"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"peridotcrank.dev/peer/peerpb"
)

// bodyFields maps the type of each protocol message to its field in Envelope.
var bodyFields = func() map[protoreflect.FullName]protoreflect.FieldDescriptor {
	fields := bodyOneof().Fields()
	byType := make(map[protoreflect.FullName]protoreflect.FieldDescriptor, fields.Len())
	for i := range fields.Len() {
		byType[fields.Get(i).Message().FullName()] = fields.Get(i)
	}
	return byType
}()

func bodyOneof() protoreflect.OneofDescriptor {
	return (*peerpb.Envelope)(nil).ProtoReflect().Descriptor().Oneofs().ByName("body")
}

func messageType(message proto.Message) protoreflect.FullName {
	return message.ProtoReflect().Descriptor().FullName()
}

// setBody stores message in the Envelope field of its type. It returns
// ErrBodyType when there is no such field.
func setBody(envelope *peerpb.Envelope, message proto.Message) error {
	field, ok := bodyFields[messageType(message)]
	if !ok {
		return fmt.Errorf("%w: %s", ErrBodyType, messageType(message))
	}
	envelope.ProtoReflect().Set(field, protoreflect.ValueOfMessage(message.ProtoReflect()))
	return nil
}

// body returns the message in the envelope, or nil when there is none.
func body(envelope *peerpb.Envelope) proto.Message {
	reflected := envelope.ProtoReflect()
	field := reflected.WhichOneof(bodyOneof())
	if field == nil {
		return nil
	}
	return reflected.Get(field).Message().Interface()
}
