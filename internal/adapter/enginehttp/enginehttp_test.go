package enginehttp

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pollenlug/pollenlug/internal/adapter/httpclient"
	"github.com/pollenlug/pollenlug/internal/standin/engine"
	"github.com/pollenlug/pollenlug/internal/standin/netfault"
	"github.com/pollenlug/pollenlug/pkg/backend"
	"gotest.tools/v3/assert"
)

const addr = "engine:1"

var errorClasses = []error{
	backend.ErrRefused, backend.ErrUnreachable, backend.ErrInterrupted, backend.ErrSilent, backend.ErrStaleFencing,
}

// assertClass checks that err has the class want and no other.
func assertClass(t *testing.T, err, want error) {
	t.Helper()
	for _, class := range errorClasses {
		assert.Equal(t, errors.Is(err, class), class == want, "%v: %v", class, err)
	}
}

// rawServer calls respond for each connection, after reading the request when readRequest is set.
func rawServer(t *testing.T, network *netfault.PipeNetwork, readRequest bool, respond func(c net.Conn)) net.Listener {
	l, err := network.Listen(addr)
	assert.NilError(t, err)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if readRequest {
				req, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					_ = c.Close()
					continue
				}
				_, _ = io.Copy(io.Discard, req.Body)
			}
			respond(c)
		}
	}()
	return l
}

const responseHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

func httpChunk(line string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(line), line) }

// Guards against errors of the wrong class. ErrUnreachable allows any request to be resent, so it must not occur once a
// byte may have been sent. ErrSilent retires connections that other requests would otherwise wait on.
func TestErrorClasses(t *testing.T) {
	token := httpChunk(`{"offset":0,"tokens":["a"]}` + "\n")
	cases := []struct {
		name        string
		listens     bool
		readRequest bool
		respond     func(c net.Conn)
		want        error
		tokens      int
	}{
		{"no listener", false, false, nil, backend.ErrUnreachable, 0},
		{"closed during the request", true, false, func(c net.Conn) {
			_, _ = io.ReadFull(c, make([]byte, 10))
			_ = c.Close()
		}, backend.ErrInterrupted, 0},
		{"closed before the header", true, true, func(c net.Conn) { _ = c.Close() }, backend.ErrInterrupted, 0},
		{"closed after the header", true, true, func(c net.Conn) {
			_, _ = io.WriteString(c, responseHead)
			_ = c.Close()
		}, backend.ErrInterrupted, 0},
		{"closed after a token", true, true, func(c net.Conn) {
			_, _ = io.WriteString(c, responseHead+token)
			_ = c.Close()
		}, backend.ErrInterrupted, 1},
		{"complete body without the last chunk", true, true, func(c net.Conn) {
			_, _ = io.WriteString(c, responseHead+token+"0\r\n\r\n")
		}, backend.ErrInterrupted, 1},
		{"malformed chunk", true, true, func(c net.Conn) {
			_, _ = io.WriteString(c, responseHead+httpChunk("{\"offset\":x}\n"))
		}, backend.ErrInterrupted, 0},
		{"refused", true, true, func(c net.Conn) {
			_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		}, backend.ErrRefused, 0},
		{"other status", true, true, func(c net.Conn) {
			_, _ = io.WriteString(c, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")
		}, backend.ErrInterrupted, 0},
		{"silent before the header", true, true, func(net.Conn) {}, backend.ErrSilent, 0},
		{"silent after a token", true, true, func(c net.Conn) { _, _ = io.WriteString(c, responseHead+token) }, backend.ErrSilent, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := netfault.NewPipeNetwork()
				if c.listens {
					defer rawServer(t, network, c.readRequest, c.respond).Close()
				}
				client := New(Options{HTTP: httpclient.Options{Dial: network.Dial}})
				defer client.Close()
				tokens := 0
				start := time.Now()
				err := client.Generate(t.Context(), addr, backend.GenerateRequest{ID: "1"}, func(backend.Chunk) error {
					tokens++
					return nil
				})
				assertClass(t, err, c.want)
				switch {
				case c.want != backend.ErrSilent:
					assert.Equal(t, time.Since(start), time.Duration(0))
				case c.tokens == 0:
					assert.Equal(t, time.Since(start), DefaultFirstSilence)
				default:
					assert.Equal(t, time.Since(start), DefaultSilence)
				}
				assert.Equal(t, tokens, c.tokens)
			})
		})
	}
}

// Guards against a read timeout that takes effect late, ends a stream whose receiver is slow, or ignores the heartbeats
// of a queued request.
func TestReadTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := netfault.NewPipeNetwork()
		defer rawServer(t, network, true, func(c net.Conn) {
			_, _ = io.WriteString(c, responseHead)
			for range 4 { // heartbeats
				time.Sleep(4 * time.Second)
				_, _ = io.WriteString(c, httpChunk("\n"))
			}
			for i := range 2 {
				_, _ = io.WriteString(c, httpChunk(fmt.Sprintf(`{"offset":%d,"tokens":["a"]}`+"\n", i)))
			}
		}).Close()
		client := New(Options{HTTP: httpclient.Options{Dial: network.Dial}, FirstSilence: 5 * time.Second, Silence: time.Second})
		defer client.Close()
		start := time.Now()
		err := client.Generate(t.Context(), addr, backend.GenerateRequest{ID: "1"}, func(backend.Chunk) error {
			time.Sleep(10 * time.Second)
			return nil
		})
		assertClass(t, err, backend.ErrSilent)
		assert.Equal(t, time.Since(start), 4*4*time.Second+2*10*time.Second+time.Second)
	})
}

// Guards against the reuse of unresponsive connections while new ones work. Neither the connection of the failed
// stream, nor those that were idle at the time, nor one that still served a stream may accept another request.
func TestSilentConnectionsAreNotReused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := netfault.NewPipeNetwork()
		e := engine.New(engine.Options{Models: []string{"m"}, Listen: network.Listen})
		defer e.Close()
		assert.NilError(t, e.Listen(addr))
		client := New(Options{HTTP: httpclient.Options{Dial: network.Dial}})
		defer client.Close()
		run := func(maxTokens int) error {
			req := backend.GenerateRequest{ID: "1", Model: "m", Prompt: "p", MaxTokens: uint32(maxTokens)}
			return client.Generate(t.Context(), addr, req, func(backend.Chunk) error { return nil })
		}
		streams := make(chan error)
		for _, maxTokens := range []int{5, 5, 5, 30} {
			go func() { streams <- run(maxTokens) }()
		}
		for range 3 { // these leave idle connections
			assert.NilError(t, <-streams)
		}
		assert.Equal(t, e.Net().StallOpenConns(), 4)
		assertClass(t, <-streams, backend.ErrSilent)
		start := time.Now()
		assert.NilError(t, run(5))
		assert.Assert(t, time.Since(start) < time.Second)

		// A deadline that passes without a response has the same effect.
		for range 2 {
			go func() { streams <- run(5) }()
		}
		assert.NilError(t, <-streams)
		assert.NilError(t, <-streams)
		assert.Equal(t, e.Net().StallOpenConns(), 2)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := client.Load(ctx, addr)
		assertClass(t, err, backend.ErrInterrupted)
		start = time.Now()
		ctx, cancel = context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = client.Load(ctx, addr)
		assert.NilError(t, err)
		assert.Equal(t, time.Since(start), time.Duration(0))
	})
}

// Guards against cutting off a stream because another connection to the same server became unresponsive.
func TestRetireConnsKeepsStreamsInProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := netfault.NewPipeNetwork()
		e := engine.New(engine.Options{Models: []string{"m"}, Listen: network.Listen})
		defer e.Close()
		assert.NilError(t, e.Listen(addr))
		dials := 0
		client := New(Options{HTTP: httpclient.Options{Dial: func(ctx context.Context, n, a string) (net.Conn, error) {
			dials++
			return network.Dial(ctx, n, a)
		}}})
		defer client.Close()
		tokens := 0
		req := backend.GenerateRequest{ID: "1", Model: "m", Prompt: "p", MaxTokens: 40}
		err := client.Generate(t.Context(), addr, req, func(backend.Chunk) error {
			if tokens++; tokens == 10 {
				client.http.RetireConns(addr)
			}
			return nil
		})
		assert.NilError(t, err)
		assert.Equal(t, tokens, 40)
		synctest.Wait()
		_, err = client.Load(t.Context(), addr)
		assert.NilError(t, err)
		assert.Equal(t, dials, 2, "a connection opened before RetireConns was reused")
	})
}

// Guards against a wrong error class when the context ends during the dial: nothing was sent.
func TestContextEndsDuringDial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := New(Options{HTTP: httpclient.Options{
			DialTimeout: time.Minute,
			Dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
				<-ctx.Done()
				return nil, ctx.Err()
			},
		}})
		defer client.Close()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		err := client.Generate(ctx, addr, backend.GenerateRequest{ID: "1"}, nil)
		assertClass(t, err, backend.ErrUnreachable)
		assert.ErrorIs(t, err, context.DeadlineExceeded)
	})
}

// Guards against a new connection for each request, which would cost an extra round trip.
func TestConnectionIsReused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := netfault.NewPipeNetwork()
		e := engine.New(engine.Options{Models: []string{"m"}, Listen: network.Listen})
		defer e.Close()
		assert.NilError(t, e.Listen(addr))
		dials := 0
		client := New(Options{HTTP: httpclient.Options{Dial: func(ctx context.Context, n, a string) (net.Conn, error) {
			dials++
			return network.Dial(ctx, n, a)
		}}})
		defer client.Close()
		for range 5 {
			req := backend.GenerateRequest{ID: "1", Model: "m", Prompt: "p", MaxTokens: 3}
			assert.NilError(t, client.Generate(t.Context(), addr, req, func(backend.Chunk) error { return nil }))
			_, err := client.Load(t.Context(), addr)
			assert.NilError(t, err)
			assert.ErrorIs(t, client.Generate(t.Context(), addr, backend.GenerateRequest{}, nil), backend.ErrRefused)
			synctest.Wait() // the transport returns the connection to the pool in a goroutine
		}
		assert.Equal(t, dials, 1)
	})
}

// Guards against the stream of one request being taken for that of the next one on the connection, after bytes of no
// request that read like a refusal.
func TestStreamAfterExtraBytesIsNotReused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := netfault.NewPipeNetwork()
		l, err := network.Listen(addr)
		assert.NilError(t, err)
		defer l.Close()
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				go func() {
					defer c.Close()
					reader := bufio.NewReader(c)
					for number := 0; ; number++ {
						var generate backend.GenerateRequest
						request, err := http.ReadRequest(reader)
						if err != nil || json.NewDecoder(request.Body).Decode(&generate) != nil {
							return
						}
						if number == 1 {
							_, _ = io.WriteString(c, "HTTP/1.1 503 Garbled\r\nContent-Length: 0\r\n\r\n")
							time.Sleep(5 * time.Millisecond)
						}
						line := fmt.Sprintf(`{"offset":0,"tokens":[%q],"finish_reason":"stop"}`+"\n", generate.Prompt)
						_, _ = io.WriteString(c, responseHead+httpChunk(line)+"0\r\n\r\n")
					}
				}()
			}
		}()
		client := New(Options{HTTP: httpclient.Options{Dial: network.Dial}})
		defer client.Close()
		for i, prompt := range []string{"a", "b", "c"} {
			got := ""
			err := client.Generate(t.Context(), addr, backend.GenerateRequest{Prompt: prompt}, func(chunk backend.Chunk) error {
				got = chunk.Tokens[0]
				return nil
			})
			if i == 1 {
				assertClass(t, err, backend.ErrRefused)
				continue
			}
			assert.NilError(t, err)
			assert.Equal(t, got, prompt)
			synctest.Wait() // the connection is idle, so that the next request reuses it
		}
		time.Sleep(10 * time.Millisecond) // until the engine has written everything
	})
}

// Guards against differences between the hand-written parser and encoding/json.
func FuzzParseChunk(f *testing.F) {
	for _, seed := range []string{
		`{"offset":0,"tokens":["a"]}`, `{"offset":12,"tokens":["a"," b","é"]}`, `{"offset":007,"tokens":["a"]}`,
		`{"offset":4294967296,"tokens":["a"]}`, `{"offset":1,"tokens":["\u00e9\n"]}`, "{\"offset\":1,\"tokens\":[\"\xff\"]}",
		`{"offset":3,"tokens":["x"],"finish_reason":"stop","usage":{"prompt_tokens":4}}`, `{"offset":1,"tokens":["a",]}`,
		`{"offset":1,"tokens":[]}`, `{"offset":1,"tokens":["a"]}x`, `{"offset":-1,"tokens":["a"]}`, ``,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, line []byte) {
		var want backend.Chunk
		wantErr := json.Unmarshal(line, &want)
		var p chunkParser
		got, err := p.parse(line)
		assert.Equal(t, err == nil, wantErr == nil, "%q", line)
		if err == nil {
			assert.DeepEqual(t, got, want)
		}
	})
}

// Guards against lines that are split or joined at the boundaries of reads and of the buffer, and against tokens that
// change when the buffer is reused.
func TestLinesAcrossReads(t *testing.T) {
	var body bytes.Buffer
	var want []string
	for i := range 200 {
		token := strings.Repeat(string(rune('a'+i%26)), 1+i*53%(3*lineBufferBytes))
		want = append(want, token)
		fmt.Fprintf(&body, `{"offset":%d,"tokens":[%q]}`+"\n\n", i, token)
	}
	body.WriteString(`{"offset":200,"finish_reason":"stop"}` + "\n")
	timer := startReadTimer(time.Hour, func() {})
	defer timer.stop()
	client := New(Options{})
	var got []string
	err := client.readChunks(shortReader{&body}, timer, func(c backend.Chunk) error {
		got = append(got, c.Tokens...)
		return nil
	})
	assert.NilError(t, err)
	assert.DeepEqual(t, got, want)
}

// shortReader returns at most 1,000 bytes per read.
type shortReader struct{ io.Reader }

func (r shortReader) Read(p []byte) (int, error) { return r.Reader.Read(p[:min(len(p), 1000)]) }

// Guards against a stream that looks complete although its engine stopped in the middle of it, in its header or in its
// body: the response is cut after each of its bytes.
func TestCutStreamsAreErrors(t *testing.T) {
	last := `{"offset":1,"tokens":["b"],"finish_reason":"stop"}` + "\n"
	lines := `{"offset":0,"tokens":["a"]}` + "\n" + last
	for name, head := range map[string]string{"chunks": responseHead, "interim": "HTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\n" + responseHead,
		"length": fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(lines)), "no length": "HTTP/1.0 200 OK\r\n\r\n"} {
		t.Run(name, func(t *testing.T) {
			response := head + lines
			if strings.HasSuffix(head, responseHead) {
				response = head + httpChunk(lines)
			}
			whole := strings.Index(response, last) + len(last)
			for n := range whole {
				network := netfault.NewPipeNetwork()
				listener := rawServer(t, network, true, func(c net.Conn) {
					_, _ = io.WriteString(c, response[:n])
					_ = c.Close()
				})
				client := New(Options{HTTP: httpclient.Options{Dial: network.Dial}})
				err := client.Generate(t.Context(), addr, backend.GenerateRequest{ID: "1"}, func(backend.Chunk) error { return nil })
				assertClass(t, err, backend.ErrInterrupted)
				client.Close()
				assert.NilError(t, listener.Close())
			}
		})
	}
}

// Guards against responses over the size limit that are cut without an error, such as an incomplete KV cache, and against
// reading a response without end.
func TestResponsesOverTheLimitAreErrors(t *testing.T) {
	network := netfault.NewPipeNetwork()
	listener := rawServer(t, network, true, func(c net.Conn) {
		_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n")
		for block := make([]byte, 64<<10); err == nil; {
			_, err = c.Write(block)
		}
	})
	defer listener.Close()
	client := New(Options{MaxResponseBytes: 1 << 20, HTTP: httpclient.Options{Dial: network.Dial}})
	defer client.Close()
	_, err := client.ExportKV(t.Context(), addr, "1")
	assertClass(t, err, backend.ErrInterrupted)
	_, err = client.Load(t.Context(), addr)
	assertClass(t, err, backend.ErrInterrupted)
}
