// Package metrics holds the counters, gauges and histograms of a node and writes them in the Prometheus text format.
//
// Each node has its own Set, so that several nodes in one process do not share metrics.
package metrics

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/pollenlug/pollenlug/pkg/code"
)

// sampleSize and sampleAlpha are the usual parameters of a forward-decaying reservoir: the quantiles reflect
// approximately the last five minutes.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// Set holds the metrics of one node.
type Set struct {
	registry gometrics.Registry
}

// NewSet returns a Set with a refusal counter for each result code, so that dashboards show 0 before the first refusal.
func NewSet() *Set {
	s := &Set{registry: gometrics.NewRegistry()}
	for _, info := range code.All() {
		s.counter("refusals", "code", info.Name)
	}
	return s
}

// Refusal increments the refusal counter for a result code.
func (s *Set) Refusal(c code.Code) { s.Count("refusals", "code", c.String(), 1) }

// Retry increments the retry counter for a reason.
func (s *Set) Retry(reason string) { s.Count("retries", "reason", reason, 1) }

// Count adds n to a counter with one label.
func (s *Set) Count(name, label, value string, n int64) { s.counter(name, label, value).Inc(n) }

// Add adds n to a counter without labels.
func (s *Set) Add(name string, n int64) {
	gometrics.GetOrRegisterCounter("pollenlug_"+name+"_total", s.registry).Inc(n)
}

// Value returns the value of a counter with one label.
func (s *Set) Value(name, label, value string) int64 { return s.counter(name, label, value).Count() }

// Gauge sets a gauge to value.
func (s *Set) Gauge(name string, value int64) {
	gometrics.GetOrRegisterGauge("pollenlug_"+name, s.registry).Update(value)
}

// Observe records a duration in a histogram, which is written in seconds.
func (s *Set) Observe(name string, d time.Duration) {
	histogram := func() gometrics.Histogram {
		return gometrics.NewHistogram(gometrics.NewExpDecaySample(sampleSize, sampleAlpha))
	}
	s.registry.GetOrRegister("pollenlug_"+name+"_seconds", histogram).(gometrics.Histogram).Update(int64(d))
}

func (s *Set) counter(name, label, value string) gometrics.Counter {
	full := fmt.Sprintf("pollenlug_%s_total{%s=%q}", name, label, value)
	return gometrics.GetOrRegisterCounter(full, s.registry)
}

// ServeHTTP writes all metrics in the Prometheus text format.
func (s *Set) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	s.write(w)
}

func (s *Set) write(w io.Writer) {
	var lines []string
	s.registry.Each(func(name string, metric any) {
		lines = append(lines, format(name, metric)...)
	})
	sort.Strings(lines)
	out := bufio.NewWriter(w)
	for _, line := range lines {
		fmt.Fprintln(out, line)
	}
	_ = out.Flush()
}

func format(name string, metric any) []string {
	switch m := metric.(type) {
	case gometrics.Counter:
		return []string{fmt.Sprintf("%s %d", name, m.Count())}
	case gometrics.Gauge:
		return []string{fmt.Sprintf("%s %d", name, m.Value())}
	case gometrics.Histogram:
		return formatHistogram(name, m.Snapshot())
	default:
		return nil
	}
}

func formatHistogram(name string, h gometrics.Histogram) []string {
	quantiles := []float64{0.5, 0.95, 0.99}
	var lines []string
	for i, value := range h.Percentiles(quantiles) {
		lines = append(lines, fmt.Sprintf("%s{quantile=\"%g\"} %g", name, quantiles[i], value/float64(time.Second)))
	}
	sum := float64(h.Sum()) / float64(time.Second)
	return append(lines, fmt.Sprintf("%s_count %d", name, h.Count()), fmt.Sprintf("%s_sum %g", name, sum))
}

// Snapshot returns the counters whose names start with prefix, keyed by name. Both prefix and keys are without
// "pollenlug_".
func (s *Set) Snapshot(prefix string) map[string]int64 {
	out := map[string]int64{}
	s.registry.Each(func(name string, metric any) {
		short := strings.TrimPrefix(name, "pollenlug_")
		if counter, ok := metric.(gometrics.Counter); ok && strings.HasPrefix(short, prefix) {
			out[short] = counter.Count()
		}
	})
	return out
}
