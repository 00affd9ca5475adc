package callers

import (
	"fmt"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// codec decodes like connect-go's own codecs but lets malformed messages
// reach the handler, marked by an unknown field. connect-go would refuse them
// before the handler runs, without a RequestOutcome.
type codec struct {
	name string
}

// malformedField is above all field numbers of the API. A caller that sends
// it itself only has its own request refused.
const malformedField protowire.Number = protowire.MaxValidNumber

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

// Unmarshal implements connect.Codec.
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
		mark := protowire.AppendTag(nil, malformedField, protowire.VarintType)
		m.ProtoReflect().SetUnknown(protowire.AppendVarint(mark, 1))
	}
	return nil
}

// isMalformed tells whether Unmarshal could not decode the message.
func isMalformed(m protoreflect.ProtoMessage) bool {
	unknown := m.ProtoReflect().GetUnknown()
	for len(unknown) > 0 {
		number, _, length := protowire.ConsumeField(unknown)
		if length < 0 || number == malformedField {
			return true
		}
		unknown = unknown[length:]
	}
	return false
}
