package transport

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/pollenlug/pollenlug/internal/pb"
)

// ProtocolVersion is the protocol version that this release writes into each envelope.
const ProtocolVersion = 1

// lengthPrefixSize is the size, in bytes, of the big-endian length prefix of each message.
const lengthPrefixSize = 4

// kindUnknown is the kind of messages whose body this release does not know.
const kindUnknown = "unknown"

// Errors of the codec.
var (
	// ErrTooLarge means that a message exceeds the size limit for its kind of stream.
	ErrTooLarge = errors.New("transport: message too large")
	// ErrMalformed means that the bytes are not a valid envelope.
	ErrMalformed = errors.New("transport: malformed envelope")
)

// bodyField is the descriptor of the envelope's oneof.
var bodyField = (&pb.Envelope{}).ProtoReflect().Descriptor().Oneofs().ByName("body")

// Kind returns the field name of the envelope's body, such as "gossip_push", or "unknown".
func Kind(env *pb.Envelope) string {
	var field protoreflect.FieldDescriptor
	if env != nil {
		field = env.ProtoReflect().WhichOneof(bodyField)
	}
	if field == nil {
		return kindUnknown
	}
	return string(field.Name())
}

// encode returns the serialized envelope with its length prefix. It returns ErrTooLarge if the envelope exceeds limit
// bytes.
func encode(env *pb.Envelope, limit int) ([]byte, error) {
	size := proto.Size(env)
	if size > limit {
		return nil, fmt.Errorf("%w: %d bytes, at most %d", ErrTooLarge, size, limit)
	}
	out := make([]byte, lengthPrefixSize, lengthPrefixSize+size)
	binary.BigEndian.PutUint32(out, uint32(size))
	return proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(out, env)
}

// decode reads one envelope and returns it with the number of bytes read. Memory use grows with the bytes that arrive,
// not with the length stated in the prefix.
func decode(r io.Reader, limit int) (*pb.Envelope, int, error) {
	var prefix [lengthPrefixSize]byte
	if _, err := io.ReadFull(r, prefix[:]); err != nil {
		return nil, 0, err
	}
	size := int64(binary.BigEndian.Uint32(prefix[:]))
	if size > int64(limit) {
		return nil, lengthPrefixSize, fmt.Errorf("%w: %d bytes, at most %d", ErrTooLarge, size, limit)
	}
	var body bytes.Buffer
	n, err := io.Copy(&body, io.LimitReader(r, size))
	consumed := lengthPrefixSize + int(n)
	if err != nil {
		return nil, consumed, err
	}
	if n < size {
		return nil, consumed, io.ErrUnexpectedEOF
	}
	env := &pb.Envelope{}
	if err := proto.Unmarshal(body.Bytes(), env); err != nil {
		return nil, consumed, fmt.Errorf("%w: %v", ErrMalformed, err)
	}
	if env.Protocol == 0 || env.From == "" {
		return nil, consumed, fmt.Errorf("%w: protocol version or sender is missing", ErrMalformed)
	}
	return env, consumed, nil
}
