package main

import (
	"fmt"
	"time"
)

const (
	// answerSlack is how long after its route's timeout a request must have been answered.
	answerSlack = 500 * time.Millisecond
	// One of upgradeWorkers is faulty and spoils one in spoiledEvery of its answers: shares of 0.33 and 0.028.
	upgradeWorkers = 3
	spoiledEvery   = 36
	upgradeClients = 48
	// leastLate and leastLateShare are the number and the share of long requests without an answer that break the rule.
	leastLate      = 8
	leastLateShare = 0.5
)

// playUpgrade plays a worker that spoils some of its answers: it sends bytes that are no response to the request, which
// announce another protocol, and keeps the channel open.
func playUpgrade(r *record, trouble bool) (bool, error) {
	d, err := start(2, deskConfig())
	if err != nil {
		return false, err
	}
	defer d.stop()
	garble := newGarbler(spoiledEvery)
	for i := range upgradeWorkers {
		w, err := startWorker(d, r, fmt.Sprintf("i-7f3a91c%d", i+1), "desk")
		if err != nil {
			return false, err
		}
		faulty := trouble && i == 0
		w.handle = func(x *exchange) {
			time.Sleep(workTime)
			if faulty && garble.garbles() {
				r.add("garbled %s: bytes that are no response to it", x.attempt)
				x.write("HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n\r\n")
				x.state.closed = true
				return
			}
			x.answer(w, "booked by "+w.id+" for "+x.attempt)
		}
		w.serve(d, 6)
	}
	if err := d.awaitReady(); err != nil {
		return false, err
	}
	begin := time.Now()
	garble.start(begin.Add(calmTime))
	answers := deskTraffic(d, r, upgradeClients, begin.Add(2*calmTime+garbleTime))
	open, late, never := 0, 0, 0
	for _, a := range answers {
		if a.took < deskTimeout {
			continue
		}
		open++
		if a.took <= deskTimeout+answerSlack && !a.timedOut {
			continue
		}
		late++
		if a.status == 0 {
			never++
		}
		r.say("CONFIG: request %s had no answer %.1f s after the timeout of its route (%.1f s): status %d after %.3f s, %v", a.attempt,
			answerSlack.Seconds(), deskTimeout.Seconds(), a.status, a.took.Seconds(), a.err)
	}
	r.say("%d requests; %d of %d answers of the faulty worker garbled; unanswered at the timeout of their route: %d, of these still unanswered %.1f s later: %d, never answered: %d",
		len(answers), garble.garbled, garble.answers, open, answerSlack.Seconds(), late, never)
	return late >= leastLate && float64(late) > leastLateShare*float64(open), nil
}
