package code

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a code that is declared twice or is out of order in the table.
func TestTableIsOrderedAndUnique(t *testing.T) {
	names := map[string]bool{}
	for i, info := range All() {
		assert.Assert(t, !names[info.Name], "duplicate name %s", info.Name)
		names[info.Name] = true
		assert.Assert(t, i == 0 || All()[i-1].Code < info.Code, "code %d is out of order", info.Code)
	}
}

// Guards against internal details in an error that is sent to a caller.
func TestFromHidesTheCause(t *testing.T) {
	e := From(errors.New("password in a log line"))
	assert.Equal(t, e.Code, Internal)
	assert.Equal(t, e.Message, "internal error")
	assert.Equal(t, e.Ran, RanUnknown)
}
