package eventorder

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"
)

// play returns the ids of the events that are accepted of successive servers, of which all but the last one break off.
func play(servers ...[]string) (accepted []string, err error) {
	var o Order
	for _, events := range servers {
		o.ServerChanged()
		for _, id := range events {
			isNew, err := o.Next(id)
			if err != nil {
				return accepted, err
			}
			if isNew {
				accepted = append(accepted, id)
			}
		}
	}
	return accepted, o.End()
}

// Guards against events that are lost, repeated or refused when servers break off at any event and others, which have
// the same ids, go on or begin again.
func TestStreamOfSuccessiveServersIsWhole(t *testing.T) {
	for name, id := range map[string]func(i int) string{
		"consecutive":   strconv.Itoa,
		"from 0":        func(i int) string { return strconv.Itoa(i - 1) },
		"even":          func(i int) string { return strconv.Itoa(7 * i) },
		"uneven":        func(i int) string { return strconv.Itoa(i * i) },
		"leading zeros": func(i int) string { return fmt.Sprintf("%03d", 4*i) },
		"large":         func(i int) string { return fmt.Sprintf("%d00000000000000000000", i*i) },
		"no numbers":    func(i int) string { return fmt.Sprint("event-", i) },
	} {
		t.Run(name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, 2))
			for range 500 {
				var whole []string
				for i := range 12 {
					whole = append(whole, id(i+1))
				}
				var servers [][]string
				sent := 0
				for range rng.IntN(4) {
					from := sent * rng.IntN(2)
					end := sent + rng.IntN(len(whole)-sent+1)
					servers = append(servers, whole[from:end])
					sent = end
				}
				servers = append(servers, whole[sent*rng.IntN(2):])
				accepted, err := play(servers...)
				assert.NilError(t, err, "%v", servers)
				assert.DeepEqual(t, accepted, whole)
			}
		})
	}
}

// Guards against events of one server that are sent twice or out of order: those that are certain to be repetitions are left
// out, others are an error.
func TestEventsOfOneServerMustIncrease(t *testing.T) {
	for _, test := range []struct {
		events, accepted []string
		err              string
	}{
		{ids(1, 2, 2, 3), ids(1, 2, 3), ""},
		{ids(1, 2, 3, 2, 3, 4), ids(1, 2, 3, 4), ""},
		{ids(2, 4, 6, 4, 6, 8), ids(2, 4, 6, 8), ""},
		{ids(2, 4, 6, 5, 8), ids(2, 4, 6), "event id 5 follows 6"},
		{ids(1, 3, 4, 3), ids(1, 3, 4), "event id 3 follows 4"},
		{ids(5, 2), ids(5), "event id 2 follows 5"},
		{ids(1, 2, 3, 2), ids(1, 2, 3), "the stream ends with repeated events, before id 3"},
		{[]string{"1", "2", "", "1", "2", "", "", "3"}, []string{"1", "2", "", "", "3"}, ""},
	} {
		t.Run(fmt.Sprint(test.events), func(t *testing.T) {
			accepted, err := play(test.events)
			if test.err == "" {
				assert.NilError(t, err)
			} else {
				assert.Error(t, err, test.err)
			}
			assert.DeepEqual(t, accepted, test.accepted)
		})
	}
}

// Guards against taking too few steps for evenly spaced ids: the stream would be cut off at the next larger step.
func TestFewStepsDoNotShowEvenIDs(t *testing.T) {
	for _, first := range [][]string{ids(1), ids(1, 2), ids(3, 7), ids(1, 2, 4)} {
		accepted, err := play(first, ids(20, 21))
		assert.NilError(t, err)
		assert.DeepEqual(t, accepted, append(first, "20", "21"))
	}
}

func ids(numbers ...int) []string {
	out := make([]string, len(numbers))
	for i, n := range numbers {
		out[i] = strconv.Itoa(n)
	}
	return out
}
