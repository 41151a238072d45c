package untrusted

import (
	"bufio"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// headerCrowd clients send a header of heldHeader bytes each.
	headerCrowd = 400
	heldHeader  = 60 << 10
	// holdTime is how long clients keep connections open after they have sent all.
	holdTime = 2 * time.Second
	// redialPause is the time after which a client whose connection was closed opens another one.
	redialPause = 200 * time.Millisecond
	// entryMemory is what a node of the first front end may use at most: the overhead per node of docs/design.md, 1.5.
	entryMemory = 128 << 20
)

// lines returns size bytes of header lines; name returns the name of the line with this number.
func lines(size int, name func(i int) string) string {
	var b strings.Builder
	for i := 0; b.Len() < size; i++ {
		fmt.Fprintf(&b, "%s: v\r\n", name(i))
	}
	return b.String()
}

// crowd opens connections that write text, drop what they receive and stay open until holdTime after all have written and
// meanwhile, which runs then, has returned. A client whose connection is closed before opens another one if it redials.
func crowd(count int, addr, text string, redial bool, meanwhile func()) {
	var written, ended sync.WaitGroup
	ctx, stop := context.WithCancel(context.Background())
	written.Add(count)
	for range count {
		ended.Go(func() {
			send(ctx, addr, text, written.Done)
			for redial && ctx.Err() == nil {
				time.Sleep(redialPause)
				send(ctx, addr, text, func() {})
			}
		})
	}
	written.Wait()
	time.Sleep(holdTime)
	meanwhile()
	stop()
	ended.Wait()
}

// send writes text on a new connection, calls written and waits until the connection is closed or ctx ends. The process
// may refuse or close the connection at any time, so errors are expected.
func send(ctx context.Context, addr, text string, written func()) {
	conn, err := net.DialTimeout("tcp", addr, holdTime)
	if err != nil {
		written()
		return
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	go func() {
		defer written()
		_ = conn.SetWriteDeadline(time.Now().Add(holdTime))
		_, _ = io.WriteString(conn, text)
	}()
	_, _ = io.Copy(io.Discard, conn)
}

// check checks that a process lives with its memory under a bound and answers.
func check(t *testing.T, p *process, bound int, targets ...target) {
	t.Helper()
	assert.Assert(t, p.isAlive(), "the process has ended")
	peak := p.memoryPeak()
	t.Logf("peak of memory %d MB, bound %d MB", peak>>20, bound>>20)
	assert.Check(t, peak <= bound, "%d MB in use, bound %d MB", peak>>20, bound>>20)
	for _, a := range targets {
		a.answers(t)
	}
}

const begin = "POST /book/1 HTTP/1.1\r\nHost: " + host + "\r\n"

// headerForms are headers over the limit that are not complete.
var headerForms = map[string]string{
	"names":    begin + lines(heldHeader, func(i int) string { return fmt.Sprint("n", i) }),
	"one name": begin + lines(heldHeader, func(int) string { return "a" }),
}

// Guards against headers over the limit whose lines take many times their size, until the process ends for lack of memory.
func TestHeadersOverTheLimit(t *testing.T) {
	for form, text := range headerForms {
		for _, name := range []string{"callers", "ready", "registry", "control", "metrics"} {
			t.Run(form+" "+name, func(t *testing.T) {
				n := startNode(t, 4100)
				crowd(headerCrowd, n.targets[name].addr, text, false, func() {})
				check(t, n.process, edgeMemoryMB<<20, n.targets[name], n.targets["callers"])
			})
		}
	}
}

// Guards against the same on the first front end.
func TestHeadersOverTheLimitOfAnEntryNode(t *testing.T) {
	for form, text := range headerForms {
		t.Run(form, func(t *testing.T) {
			p, a := startEntryNode(t, false)
			crowd(headerCrowd, a.addr, text, false, func() {})
			check(t, p, entryMemory, a)
		})
	}
}

// Guards against HTTPS whose headers are not limited, or that ends the connection without an answer.
func TestHeaderOverTheLimitOverHTTPS(t *testing.T) {
	_, a := startEntryNode(t, true)
	conn, err := tls.Dial("tcp", a.addr, insecure)
	assert.NilError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, begin+"X-Long: "+strings.Repeat("x", 100<<10))
	assert.NilError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusRequestHeaderFieldsTooLarge)
	assert.Equal(t, resp.Header.Get("X-Pollenlug-Code"), "1012")
}

const (
	fewDescriptors = 500
	// keptDescriptors are those that a crowd may not take: a fifth, for servers, the store and other nodes.
	keptDescriptors = fewDescriptors / 5
	idleCrowd       = 600
)

// Guards against connections that take all descriptors of the process: it reaches no server then and accepts nobody.
func TestConnectionsTakeNotAllDescriptors(t *testing.T) {
	for _, name := range []string{"callers", "ready", "registry", "control", "metrics"} {
		t.Run(name, func(t *testing.T) {
			n := startNode(t, fewDescriptors)
			crowd(idleCrowd, n.targets[name].addr, "", true, func() {
				open := 0
				for end := time.Now().Add(holdTime); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
					open = max(open, n.descriptors())
				}
				t.Logf("%d descriptors open", open)
				assert.Check(t, open <= fewDescriptors-keptDescriptors, "%d descriptors of %d open", open, fewDescriptors)
				n.targets[name].answers(t)
			})
			check(t, n.process, edgeMemoryMB<<20, n.targets["callers"])
		})
	}
}

// Guards against what else a client can send without end: empty lines before a request, one line, a target, extensions of
// chunks, trailers, requests in one packet, and headers inside the limit whose bodies do not arrive.
func TestEndlessParts(t *testing.T) {
	chunked := begin + "Transfer-Encoding: chunked\r\n\r\n"
	for form, text := range map[string]string{
		"empty lines":      strings.Repeat("\r\n", 1<<19),
		"line":             begin + "X-Long: " + strings.Repeat("x", 1<<20),
		"target":           "GET /" + strings.Repeat("x", 1<<20),
		"chunk extensions": chunked + strings.Repeat("1;"+strings.Repeat("e", 2000)+"\r\nx\r\n", 400),
		"small chunks":     chunked + strings.Repeat("1\r\nx\r\n", 1<<17),
		"trailers":         chunked + "0\r\n" + lines(1<<20, func(i int) string { return fmt.Sprint("t", i) }),
		"short trailers":   chunked + "0\r\n" + lines(4000, func(i int) string { return fmt.Sprint(i) }),
		"pipelined":        strings.Repeat(begin+"Content-Length: 0\r\n\r\n", 200),
		"pipelined header": begin + "Content-Length: 0\r\n\r\n" + headerForms["names"],
		"held bodies":      begin + "Content-Length: 1000\r\n" + lines(headerLimit-1000, func(i int) string { return fmt.Sprint("n", i) }) + "\r\n",
	} {
		t.Run(form, func(t *testing.T) {
			n := startNode(t, 4100)
			crowd(headerCrowd, n.targets["callers"].addr, text, false, func() {})
			check(t, n.process, edgeMemoryMB<<20, n.targets["callers"])
		})
	}
}

// partsCrowd clients send a header inside the limit with as many parts of a prompt as fit into it.
const partsCrowd = 1000

// Guards against lists of prompt parts that take many times the size of their header while the bodies do not arrive.
func TestHeldPromptParts(t *testing.T) {
	n := startNode(t, 4100)
	text := begin + "Content-Length: 1000\r\nPollenlug-Prompt-Prefix: a:1" + strings.Repeat(",a:1", (headerLimit-500)/4) + "\r\n\r\n"
	crowd(partsCrowd, n.targets["callers"].addr, text, false, func() {})
	check(t, n.process, edgeMemoryMB<<20, n.targets["callers"])
}
