package bench

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
)

// figure is one numeric value of a report.
type figure struct {
	name  string
	value float64
}

// Compare prints the figures that differ between two reports, with the difference in percent of the first.
func Compare(out io.Writer, a, b *Report) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "figure\tA\tB\tB-A\tpercent\t")
	valuesA, valuesB := figureValues(a), figureValues(b)
	for _, name := range figureNames(valuesA, valuesB) {
		valueA, valueB := valuesA[name], valuesB[name]
		if valueA == valueB {
			continue
		}
		percent := "-"
		if valueA != 0 {
			percent = fmt.Sprintf("%+.1f", 100*(valueB-valueA)/valueA)
		}
		fmt.Fprintf(table, "%s\t%.6g\t%.6g\t%+.6g\t%s\t\n", name, valueA, valueB, valueB-valueA, percent)
	}
	_ = table.Flush()
}

func figureNames(a, b map[string]float64) []string {
	all := maps.Clone(a)
	maps.Copy(all, b)
	return slices.Sorted(maps.Keys(all))
}

// figureValues returns the numeric values of a report by name.
func figureValues(r *Report) map[string]float64 {
	out := map[string]float64{}
	for _, f := range []figure{
		{"accepted", float64(r.Accepted)},
		{"complete", float64(r.Complete)},
		{"cost per million tokens", r.CostPerMillion},
		{"cost_micros", float64(r.CostMicros)},
		{"dropped", float64(r.Dropped)},
		{"exact", float64(r.Exact)},
		{"redirects", float64(r.Redirects)},
		{"repeated", float64(r.Repeated)},
		{"requests", float64(r.Requests)},
		{"resends", float64(r.Resends)},
		{"resumes", float64(r.Resumes)},
		{"tokens cached", float64(r.TokensCached)},
		{"tokens generated", float64(r.TokensGenerated)},
		{"tokens prefilled", float64(r.TokensPrefilled)},
		{"tokens recomputed", float64(r.TokensRecomputed)},
		{"wrong ran", float64(r.WrongRan)},
	} {
		out[f.name] = f.value
	}
	for name, count := range r.Refusals {
		out["refusal "+name] = float64(count)
	}
	for name, value := range r.Figures {
		out["figure "+name] = value
	}
	for name, c := range r.Classes {
		addQuantiles(out, name+" first token", c.FirstToken)
		addQuantiles(out, name+" between tokens", c.BetweenTokens)
	}
	return out
}

func addQuantiles(out map[string]float64, name string, q Quantiles) {
	if q.Count == 0 {
		return
	}
	out[name+" p50 ms"] = q.P50
	out[name+" p95 ms"] = q.P95
	out[name+" p99 ms"] = q.P99
}
