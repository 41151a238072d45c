package enginehttp

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/pollenlug/pollenlug/internal/adapter/httpclient"
	"github.com/pollenlug/pollenlug/internal/standin/engine"
	"github.com/pollenlug/pollenlug/pkg/backend"
	"gotest.tools/v3/assert"
)

// lineSource returns one chunk per read, as an engine sends them.
type lineSource struct {
	remaining int
	line      []byte
}

func (s *lineSource) Read(p []byte) (int, error) {
	if s.remaining == 0 {
		return copy(p, `{"offset":1,"finish_reason":"stop"}`+"\n"), nil
	}
	s.remaining--
	return copy(p, s.line), nil
}

// BenchmarkChunk measures parsing and the read timer per token, without the network.
func BenchmarkChunk(b *testing.B) {
	timer := startReadTimer(time.Hour, func() {})
	defer timer.stop()
	client := New(Options{})
	b.ReportAllocs()
	source := &lineSource{b.N, []byte(`{"offset":1234,"tokens":[" token"]}` + "\n")}
	if err := client.readChunks(source, timer, func(backend.Chunk) error { return nil }); err != nil {
		b.Fatal(err)
	}
}

// BenchmarkReadLoopback is the lower bound for BenchmarkStreamLoopback: the same server with a client that only reads.
func BenchmarkReadLoopback(b *testing.B) {
	l := serveTokens(b)
	defer l.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(b, err)
	_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	assert.NilError(b, err)
	buf := make([]byte, lineBufferBytes)
	b.ReportAllocs()
	before := cpuTime(b)
	for err == nil {
		_, err = c.Read(buf)
	}
	b.ReportMetric(float64(cpuTime(b)-before)/float64(b.N), "cpu-ns/token")
}

// BenchmarkStreamLoopback measures one stream over loopback TCP with one write per token. It reports the time per token
// and the CPU time of the whole process, that is, of the client and a minimal server.
func BenchmarkStreamLoopback(b *testing.B) {
	l := serveTokens(b)
	defer l.Close()
	client := New(Options{})
	defer client.Close()
	b.ReportAllocs()
	before := cpuTime(b)
	err := client.Generate(context.Background(), l.Addr().String(), backend.GenerateRequest{ID: "1"}, func(backend.Chunk) error { return nil })
	assert.NilError(b, err)
	b.ReportMetric(float64(cpuTime(b)-before)/float64(b.N), "cpu-ns/token")
}

// BenchmarkEngine500Streams measures 500 concurrent streams of one stand-in per token, client and stand-in together.
// Each run has as many rounds of 500 responses as needed for at least b.N tokens.
func BenchmarkEngine500Streams(b *testing.B) {
	const streams, length = 500, 64
	e := engine.New(engine.Options{Models: []string{"m"}, MaxBatch: streams, StepBase: 10 * time.Millisecond, StepPerSequence: 10 * time.Microsecond})
	defer e.Close()
	assert.NilError(b, e.Listen("127.0.0.1:0"))
	client := New(Options{HTTP: httpclient.Options{}})
	defer client.Close()
	before := cpuTime(b)
	start := time.Now()
	tokens := 0
	for round := 0; tokens < b.N; round++ {
		var all sync.WaitGroup
		for i := range streams {
			all.Go(func() {
				req := backend.GenerateRequest{ID: fmt.Sprint(round, i), Model: "m", Prompt: fmt.Sprint(round, i), MaxTokens: length}
				err := client.Generate(context.Background(), e.Addr(), req, func(backend.Chunk) error { return nil })
				assert.Check(b, err)
			})
		}
		all.Wait()
		tokens += streams * length
	}
	b.ReportMetric(float64(cpuTime(b)-before)/float64(tokens), "cpu-ns/token")
	b.ReportMetric(float64(tokens)/time.Since(start).Seconds(), "tokens/s")
}

func cpuTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// serveTokens responds to the first request with b.N tokens, one write per token.
func serveTokens(b *testing.B) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		req, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		_, _ = io.WriteString(c, responseHead)
		token := []byte(httpChunk(`{"offset":1234,"tokens":[" token"]}` + "\n"))
		for range b.N {
			_, _ = c.Write(token)
		}
		_, _ = io.WriteString(c, httpChunk(`{"offset":1,"finish_reason":"stop"}`+"\n")+"0\r\n\r\n")
		_ = c.Close()
	}()
	return l
}
