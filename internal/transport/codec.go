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

// ProtocolVersion is the version that this release writes into each envelope.
const ProtocolVersion = 1

// lengthBytes is the size of the big-endian length in front of each message.
const lengthBytes = 4

// kindUnknown counts messages whose kind this release does not know.
const kindUnknown = "unknown"

// Errors of the codec.
var (
	// ErrTooLarge means that a message is longer than the bound for its kind of stream.
	ErrTooLarge = errors.New("transport: message too large")
	// ErrMalformed means that the bytes are no valid envelope.
	ErrMalformed = errors.New("transport: malformed envelope")
)

// bodyField is the oneof of the envelope.
var bodyField = (&pb.Envelope{}).ProtoReflect().Descriptor().Oneofs().ByName("body")

// Kind returns the name of the body's field, such as "gossip_push", or "unknown".
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

// encode returns the envelope with its length in front.
func encode(env *pb.Envelope, limit int) ([]byte, error) {
	size := proto.Size(env)
	if size > limit {
		return nil, fmt.Errorf("%w: %d bytes, at most %d", ErrTooLarge, size, limit)
	}
	out := make([]byte, lengthBytes, lengthBytes+size)
	binary.BigEndian.PutUint32(out, uint32(size))
	return proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(out, env)
}

// decode reads one envelope. Memory grows with the bytes that arrive, not with the announced length.
func decode(r io.Reader, limit int) (*pb.Envelope, int, error) {
	var head [lengthBytes]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, 0, err
	}
	size := int64(binary.BigEndian.Uint32(head[:]))
	if size > int64(limit) {
		return nil, lengthBytes, fmt.Errorf("%w: %d bytes, at most %d", ErrTooLarge, size, limit)
	}
	var body bytes.Buffer
	n, err := io.Copy(&body, io.LimitReader(r, size))
	read := lengthBytes + int(n)
	if err != nil {
		return nil, read, err
	}
	if n < size {
		return nil, read, io.ErrUnexpectedEOF
	}
	env := &pb.Envelope{}
	if err := proto.Unmarshal(body.Bytes(), env); err != nil {
		return nil, read, fmt.Errorf("%w: %v", ErrMalformed, err)
	}
	if env.Protocol == 0 || env.From == "" {
		return nil, read, fmt.Errorf("%w: protocol version or sender is missing", ErrMalformed)
	}
	return env, read, nil
}
