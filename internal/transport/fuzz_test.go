package transport

import (
	"bytes"
	"context"
	"testing"

	"github.com/pollenlug/pollenlug/internal/pb"
)

// Guards against bytes from a peer that make the decoder or the handling of a request panic, and against a decoder that
// reports more bytes than it was given.
func FuzzEnvelope(f *testing.F) {
	tr := &Transport{opts: Options{Node: "a", MaxMessage: 1 << 16}}
	tr.SetHandler(func(_ context.Context, _ string, env *pb.Envelope) (*pb.Envelope, error) { return echo(env) })
	for _, env := range []*pb.Envelope{
		probe(1),
		{Body: &pb.Envelope_GossipPush{GossipPush: &pb.GossipPush{Items: []*pb.GossipItem{{Key: "member/a"}}}}},
		{Body: &pb.Envelope_StreamOpen{}},
	} {
		data, err := encode(tr.withSender(env), 1<<16)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		env, n, err := decode(bytes.NewReader(data), 1<<16)
		if n > len(data) {
			t.Fatalf("read %d of %d bytes", n, len(data))
		}
		if err != nil {
			return
		}
		reply := tr.withSender(tr.callHandler(context.Background(), env))
		if _, err := encode(reply, 1<<16); err != nil {
			t.Fatal(err)
		}
	})
}
