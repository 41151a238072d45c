package code

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const docPage = "../../docs/result-codes.md"

var updateDocPage = flag.Bool("update-page", false, "write docs/result-codes.md")

// Guards against a code that is missing in docs/result-codes.md or has another description there.
func TestPageListsEveryCode(t *testing.T) {
	var want strings.Builder
	want.WriteString("# Result codes\n\nEach refusal carries one of these codes, in the body and in `X-Pollenlug-Code`. " +
		"Codes are never reused.\nThis page is checked against `pkg/code`; `go test ./pkg/code -update-page` writes it.\n\n" +
		"| code | name | HTTP status | meaning |\n| --- | --- | --- | --- |\n")
	for _, info := range All() {
		fmt.Fprintf(&want, "| %d | `%s` | %d | %s |\n", info.Code, info.Name, info.Status, info.Help)
	}
	want.WriteString("\n`ran` is `no` when the request did not run and never will through this attempt, `yes` when it ran, and " +
		"`unknown`\nwhen neither is certain. `retry_after_ms` is 0 when a retry does not help.\n")
	if *updateDocPage {
		assert.NilError(t, os.WriteFile(docPage, []byte(want.String()), 0o644))
	}
	got, err := os.ReadFile(docPage)
	assert.NilError(t, err)
	assert.Equal(t, string(got), want.String())
}
