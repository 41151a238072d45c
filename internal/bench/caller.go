package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pollenlug/pollenlug/internal/gateway"
)

const (
	dialTimeout = 2 * time.Second
	// headerTimeout bounds the wait for the headers of an answer.
	headerTimeout = 20 * time.Second
	// entriesTimeout bounds one question for the entries.
	entriesTimeout = 2 * time.Second
	// entriesBackoff is the pause after no entry node has answered.
	entriesBackoff = 100 * time.Millisecond
	maxRedirects   = 5
	// maxAnswerBytes bounds what is read of an answer that is no stream.
	maxAnswerBytes = 4 << 20
)

// caller is one program of a customer: it has its own address, connections and list of entries.
type caller struct {
	client *http.Client
	seeds  []string // addresses to ask first
	rec    *recorder

	mu      sync.Mutex
	entries []string
	expires time.Time
}

func newCaller(seeds []string, number int, rec *recorder) *caller {
	dialer := &net.Dialer{Timeout: dialTimeout}
	if loopback(seeds) {
		dialer.LocalAddr = &net.TCPAddr{IP: net.IPv4(127, 0, 1, byte(1+number%250))}
	}
	transport := &http.Transport{
		DialContext:           dialer.DialContext,
		MaxIdleConnsPerHost:   256,
		ResponseHeaderTimeout: headerTimeout,
	}
	return &caller{
		client: &http.Client{Transport: transport, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }},
		seeds:  seeds,
		rec:    rec,
	}
}

func loopback(addrs []string) bool {
	for _, addr := range addrs {
		host, _, err := net.SplitHostPort(addr)
		if err != nil || !net.ParseIP(host).IsLoopback() {
			return false
		}
	}
	return true
}

func (c *caller) close() { c.client.CloseIdleConnections() }

// list returns the addresses to use, best first, from the cache while it is valid.
func (c *caller) list(ctx context.Context) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().Before(c.expires) {
		return c.entries
	}
	for _, addr := range append(append([]string{}, c.entries...), c.seeds...) {
		entries, ttl, err := c.ask(ctx, addr)
		if err == nil && len(entries) > 0 {
			c.entries, c.expires = entries, time.Now().Add(ttl)
			return entries
		}
	}
	return c.seeds
}

func (c *caller) ask(ctx context.Context, addr string) ([]string, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, entriesTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/v1/entries", nil)
	if err != nil {
		return nil, 0, err
	}
	res, err := c.client.Do(req)
	if err != nil {
		return nil, 0, err
	}
	defer res.Body.Close()
	var answer struct {
		Entries []gateway.Entry `json:"entries"`
		TTL     int             `json:"ttl_seconds"`
	}
	if err := json.NewDecoder(io.LimitReader(res.Body, maxAnswerBytes)).Decode(&answer); err != nil {
		return nil, 0, err
	}
	var out []string
	for _, e := range answer.Entries {
		out = append(out, e.Addr)
	}
	return out, time.Duration(answer.TTL) * time.Second, nil
}

// failed drops the list after a broken connection, so that the next request asks again.
func (c *caller) failed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expires = time.Time{}
}

// entry returns the address for the n-th try: the best one first, then the others in turn.
func (c *caller) entry(ctx context.Context, try int) string {
	list := c.list(ctx)
	return list[try%len(list)]
}

// send sends one try and follows redirects. It returns the address that answered.
func (c *caller) send(ctx context.Context, r *request, addr, path string, header http.Header) (*http.Response, string, error) {
	url := "http://" + addr + path
	method, body := r.method, r.body
	if path != r.path { // a resume
		method, body = http.MethodGet, nil
	}
	for range maxRedirects {
		req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
		if err != nil {
			return nil, "", err
		}
		req.Header = header.Clone()
		res, err := c.client.Do(req)
		if err != nil {
			c.failed()
			return nil, req.URL.Host, err
		}
		if res.StatusCode != http.StatusTemporaryRedirect {
			return res, req.URL.Host, nil
		}
		c.rec.count(&c.rec.redirects)
		c.failed()
		location, err := res.Location()
		_ = res.Body.Close()
		if err != nil {
			return nil, "", err
		}
		url = location.String()
	}
	return nil, "", fmt.Errorf("more than %d redirects", maxRedirects)
}

// refusal is the error object of an answer.
type refusal struct {
	Name         string `json:"name"`
	Message      string `json:"message"`
	Ran          string `json:"ran"`
	RetryAfterMs int64  `json:"retry_after_ms"`
}

func readRefusal(res *http.Response) refusal {
	body, _ := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes))
	return parseRefusal(body, res.StatusCode)
}

func parseRefusal(body []byte, status int) refusal {
	var wire struct {
		Error refusal `json:"error"`
	}
	if json.Unmarshal(body, &wire) != nil || wire.Error.Name == "" {
		return refusal{Name: fmt.Sprintf("status_%d", status), Ran: "unknown"}
	}
	return wire.Error
}
