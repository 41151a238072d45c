package cli

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// Guards against a changed output or exit code of `config check`, on which operators' scripts rely.
func TestConfigCheck(t *testing.T) {
	var good strings.Builder
	assert.Equal(t, RunConfigCheck("../../examples/oleaje", &good), ExitOK)
	golden.Assert(t, good.String(), "configcheck-oleaje.golden")

	dir := t.TempDir()
	first := `{"models": [{"name": "m", "backend_group": "none", "context_tokens": 1}]}`
	assert.NilError(t, os.WriteFile(filepath.Join(dir, "10.json"), []byte(first), 0o600))
	var bad strings.Builder
	assert.Equal(t, RunConfigCheck(dir, &bad), ExitFault)
	golden.Assert(t, bad.String(), "configcheck-faults.golden")

	var missing strings.Builder
	assert.Equal(t, RunConfigCheck(filepath.Join(dir, "missing"), &missing), ExitFault)
	assert.Assert(t, strings.HasPrefix(missing.String(), "(folder): (file): read configuration directory: "))
}
