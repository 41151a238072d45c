// Package eventorder decides which events of successive servers make up one stream.
//
// The ids of a stream's events increase, by how much is the server's choice. So a gap between two ids of one server says
// nothing, and its stream is passed on as it comes. When a server breaks off and another one is asked to go on after the last
// event, that one may go on, or begin again with events that have been sent. It has to show that its events continue
// the stream: if it begins again, the last event sent must be among them; if it goes on, its first id must not leave out a
// step of a stream whose ids have been evenly spaced so far.
//
// Ids that are no numbers have no order that is known here. A server has begun again if its first id is the first or the last
// one sent, and goes on otherwise. Events without an id are counted from the last id.
package eventorder

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"
)

// minEvenSteps is the number of equal steps between ids that show that a stream's ids are evenly spaced.
const minEvenSteps = 2

// maxShownID limits the length of an id in an error.
const maxShownID = 32

// Error is the error of events that do not continue a stream.
type Error string

// Error implements error.
func (e Error) Error() string { return string(e) }

// position is where the events of a server are, compared with those that have been accepted.
type position uint8

const (
	// following means that its next event follows the last one accepted.
	following position = iota
	// joining means that it has been asked to go on, and nothing of it is known.
	joining
	// repeating means that it has begun again, or gone back, and has not reached the last event accepted.
	repeating
)

// Order follows the event ids of one stream. The zero value is that of a stream without events. It is not safe for concurrent
// use.
type Order struct {
	first, last eventID // of the accepted events
	steps       spacing
	// withoutID is the number of events without an id that have been accepted since the last one with an id.
	withoutID int
	// ambiguous is set when an id that is no number has come twice.
	ambiguous bool
	// position and previous, the id of its last event, are those of the current server.
	position position
	previous eventID
	// repeated is the number of events without an id that the server still has to repeat after the last event.
	repeated int
}

// Last returns the id of the last event accepted, or nothing.
func (o *Order) Last() string { return o.last.text }

// Resumable reports whether another server can go on with the stream: an id shows which event was the last one.
func (o *Order) Resumable() bool {
	return o.last.text != "" && !o.ambiguous || o.last.text == "" && o.withoutID == 0
}

// ServerChanged tells that the next events come from another server, which has been asked to go on after the last one.
func (o *Order) ServerChanged() {
	o.previous, o.position, o.repeated = eventID{}, following, 0
	if o.last.text != "" {
		o.position = joining
	}
}

// Next tells of the next event of the current server, with its id or nothing if it has none. isNew reports whether the
// event continues the stream; otherwise it has been sent before. An Error means that the server's events do not continue it.
func (o *Order) Next(id string) (isNew bool, err error) {
	if id == "" {
		return o.nextWithoutID()
	}
	event := parseID(id)
	if o.position == joining {
		err = o.join(event)
	} else if order, known := event.compare(o.previous); known && order <= 0 {
		err = o.goBack(event)
	}
	if err != nil {
		return false, err
	}
	o.previous = event
	if o.position == repeating {
		return false, o.repeat(event)
	}
	o.accept(event)
	return true, nil
}

// nextWithoutID handles an event without an id.
func (o *Order) nextWithoutID() (isNew bool, err error) {
	switch {
	case o.position == joining:
		return false, Error("the stream is resumed without an event id")
	case o.position == repeating:
		return false, nil
	case o.repeated > 0:
		o.repeated--
		return false, nil
	}
	o.withoutID++
	return true, nil
}

// join handles the first event of a server that has been asked to go on.
func (o *Order) join(event eventID) error {
	order, known := event.compare(o.last)
	if known && order <= 0 || !known && (event.text == o.first.text || event.text == o.last.text) {
		o.position = repeating
		return nil
	}
	if known && o.steps.exceededBy(o.last, event) {
		return failure("events are left out, id %s follows %s", event, o.last)
	}
	o.position = following
	return nil
}

// goBack handles an event whose id is not above that of the server's previous one. It is an error unless all events from
// this one on are certain to be repetitions.
func (o *Order) goBack(event eventID) error {
	if order, _ := event.compare(o.previous); order < 0 && !o.accepted(event) {
		return failure("event id %s follows %s", event, o.previous)
	}
	o.position = repeating
	return nil
}

// repeat handles an event of a server that repeats events.
func (o *Order) repeat(event eventID) error {
	order, known := event.compare(o.last)
	switch {
	case known && order == 0 || event.text == o.last.text:
		o.position, o.repeated = following, o.withoutID
	case known && order > 0:
		return failure("id %s is not among the repeated events, id %s follows", o.last, event)
	}
	return nil
}

// accept adds an event to the stream.
func (o *Order) accept(event eventID) {
	if o.last.text == "" {
		o.first = event
	} else {
		o.steps.add(o.last, event)
		o.ambiguous = o.ambiguous || event.text == o.last.text
	}
	o.last, o.withoutID, o.repeated = event, 0, 0
}

// accepted reports whether an event with an id that is not above the last one is certain to have been accepted.
func (o *Order) accepted(event eventID) bool {
	order, known := event.compare(o.first)
	return known && order >= 0 && o.steps.contain(o.first, event)
}

// End tells that the stream of the current server is complete. An Error means that it does not complete the stream.
func (o *Order) End() error {
	if o.position == repeating {
		return failure("the stream ends with repeated events, before id %s", o.last)
	}
	return nil
}

// spacing is the differences between successive ids.
type spacing struct {
	size   uint64
	count  int
	uneven bool
}

// add adds the difference between two ids.
func (s *spacing) add(from, to eventID) {
	size := to.number - from.number
	if !from.inRange || !to.inRange || s.count > 0 && size != s.size {
		s.uneven = true
		return
	}
	s.size = size
	s.count++
}

// exceededBy reports whether the difference between two ids is too large for a stream whose ids are evenly spaced.
func (s *spacing) exceededBy(from, to eventID) bool {
	return !s.uneven && s.count >= minEvenSteps && to.inRange && to.number-from.number > s.size
}

// contain reports whether an id is any number of equal steps above the first one.
func (s *spacing) contain(first, id eventID) bool {
	return !s.uneven && s.count > 0 && id.inRange && (id.number-first.number)%s.size == 0
}

// eventID is the id of an event.
type eventID struct {
	text string
	// digits is the id without leading zeros if it is a decimal number of any size, or empty.
	digits string
	// number is its value if inRange is set.
	number  uint64
	inRange bool
}

func parseID(text string) eventID {
	id := eventID{text: text}
	if strings.Trim(text, "0123456789") != "" {
		return id
	}
	if id.digits = strings.TrimLeft(text, "0"); id.digits == "" {
		id.digits = "0"
	}
	number, err := strconv.ParseUint(text, 10, 64)
	id.number, id.inRange = number, err == nil
	return id
}

// compare compares two ids as in package cmp. known is false if they have no known order.
func (e eventID) compare(other eventID) (order int, known bool) {
	if e.digits == "" || other.digits == "" {
		return 0, false
	}
	return cmp.Or(cmp.Compare(len(e.digits), len(other.digits)), cmp.Compare(e.digits, other.digits)), true
}

func failure(format string, ids ...eventID) error {
	shown := make([]any, len(ids))
	for i, id := range ids {
		shown[i] = id.text[:min(len(id.text), maxShownID)]
	}
	return Error(fmt.Sprintf(format, shown...))
}
