package callers

import (
	"fmt"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// codec encodes and decodes like connect-go's codecs, but passes malformed
// messages to the handler, marked by an unknown field. connect-go would reject
// them before the handler runs, in an error without a RequestOutcome.
type codec struct {
	// name is "proto" or "json".
	name string
}

// malformedMarkerField is the number of the field that marks a malformed
// message. It is above all field numbers of the API. A caller that sends the
// field only causes its own request to be refused.
const malformedMarkerField protowire.Number = protowire.MaxValidNumber

func newCodec(name string) codec { return codec{name: name} }

// Name implements connect.Codec.
func (c codec) Name() string { return c.name }

// Marshal implements connect.Codec.
func (c codec) Marshal(message any) ([]byte, error) {
	m, ok := message.(proto.Message)
	if !ok {
		return nil, fmt.Errorf("%T is not a protobuf message", message)
	}
	if c.name == "json" {
		return protojson.Marshal(m)
	}
	return proto.Marshal(m)
}

// Unmarshal implements connect.Codec. A message that cannot be decoded is
// marked as malformed and causes no error.
func (c codec) Unmarshal(data []byte, message any) error {
	m, ok := message.(proto.Message)
	if !ok {
		return fmt.Errorf("%T is not a protobuf message", message)
	}
	var err error
	if c.name == "json" {
		err = protojson.UnmarshalOptions{DiscardUnknown: true}.Unmarshal(data, m)
	} else {
		err = proto.Unmarshal(data, m)
	}
	if err != nil {
		proto.Reset(m)
		marker := protowire.AppendTag(nil, malformedMarkerField, protowire.VarintType)
		m.ProtoReflect().SetUnknown(protowire.AppendVarint(marker, 1))
	}
	return nil
}

// isMalformed reports whether Unmarshal marked the message as malformed.
func isMalformed(m protoreflect.ProtoMessage) bool {
	unknown := m.ProtoReflect().GetUnknown()
	for len(unknown) > 0 {
		number, _, length := protowire.ConsumeField(unknown)
		if length < 0 || number == malformedMarkerField {
			return true
		}
		unknown = unknown[length:]
	}
	return false
}
