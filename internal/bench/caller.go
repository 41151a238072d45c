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
	// headerTimeout bounds the wait for the response headers.
	headerTimeout = 20 * time.Second
	// entriesTimeout bounds one query of /v1/entries.
	entriesTimeout = 2 * time.Second
	// entriesBackoff is the delay after no entry node has responded.
	entriesBackoff = 100 * time.Millisecond
	maxRedirects   = 5
	// maxResponseBytes limits how much of a non-streamed response is read.
	maxResponseBytes = 4 << 20
)

// caller simulates one client program: it has its own address, connections and cached entries.
type caller struct {
	client    *http.Client
	seedAddrs []string // entry nodes to query when no cached entry responds
	rec       *recorder

	mu              sync.Mutex
	cachedEntries   []string
	entriesExpireAt time.Time
}

func newCaller(seedAddrs []string, number int, rec *recorder) *caller {
	dialer := &net.Dialer{Timeout: dialTimeout}
	if loopback(seedAddrs) {
		dialer.LocalAddr = &net.TCPAddr{IP: net.IPv4(127, 0, 1, byte(1+number%250))}
	}
	transport := &http.Transport{
		DialContext:           dialer.DialContext,
		MaxIdleConnsPerHost:   256,
		ResponseHeaderTimeout: headerTimeout,
	}
	return &caller{
		client:    &http.Client{Transport: transport, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }},
		seedAddrs: seedAddrs,
		rec:       rec,
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

// entryAddrs returns the addresses of the entry nodes, most preferred first, from the cache while it is valid.
func (c *caller) entryAddrs(ctx context.Context) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().Before(c.entriesExpireAt) {
		return c.cachedEntries
	}
	for _, addr := range append(append([]string{}, c.cachedEntries...), c.seedAddrs...) {
		entries, ttl, err := c.queryEntries(ctx, addr)
		if err == nil && len(entries) > 0 {
			c.cachedEntries, c.entriesExpireAt = entries, time.Now().Add(ttl)
			return entries
		}
	}
	return c.seedAddrs
}

func (c *caller) queryEntries(ctx context.Context, addr string) ([]string, time.Duration, error) {
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
	var response struct {
		Entries []gateway.Entry `json:"entries"`
		TTL     int             `json:"ttl_seconds"`
	}
	if err := json.NewDecoder(io.LimitReader(res.Body, maxResponseBytes)).Decode(&response); err != nil {
		return nil, 0, err
	}
	var addrs []string
	for _, e := range response.Entries {
		addrs = append(addrs, e.Addr)
	}
	return addrs, time.Duration(response.TTL) * time.Second, nil
}

// expireEntries expires the cached entries after a failed connection or a redirect, so that the next request queries
// them again.
func (c *caller) expireEntries() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entriesExpireAt = time.Time{}
}

// entryAddr returns the address for an attempt, counted from 0: the most preferred entry first, then the others in
// turn.
func (c *caller) entryAddr(ctx context.Context, attempt int) string {
	addrs := c.entryAddrs(ctx)
	return addrs[attempt%len(addrs)]
}

// send sends one attempt and follows redirects. It returns the response and the address that sent it.
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
			c.expireEntries()
			return nil, req.URL.Host, err
		}
		if res.StatusCode != http.StatusTemporaryRedirect {
			return res, req.URL.Host, nil
		}
		c.rec.increment(&c.rec.redirects)
		c.expireEntries()
		location, err := res.Location()
		_ = res.Body.Close()
		if err != nil {
			return nil, "", err
		}
		url = location.String()
	}
	return nil, "", fmt.Errorf("more than %d redirects", maxRedirects)
}

// refusal is the error object of a response.
type refusal struct {
	Name         string `json:"name"`
	Message      string `json:"message"`
	Ran          string `json:"ran"`
	RetryAfterMs int64  `json:"retry_after_ms"`
}

func readRefusal(res *http.Response) refusal {
	body, _ := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
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
