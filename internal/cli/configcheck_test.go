package cli

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// Guards against changes in the output or exit code of `config check`, on which operators' scripts rely.
func TestConfigCheck(t *testing.T) {
	var good strings.Builder
	assert.Equal(t, RunConfigCheck("../../examples/oleaje", &good), ExitOK)
	golden.Assert(t, good.String(), "configcheck-oleaje.golden")

	dir := t.TempDir()
	file := `{"models": [{"name": "m", "backend_group": "none", "context_tokens": 1}]}`
	assert.NilError(t, os.WriteFile(filepath.Join(dir, "10.json"), []byte(file), 0o600))
	var bad strings.Builder
	assert.Equal(t, RunConfigCheck(dir, &bad), ExitFault)
	golden.Assert(t, bad.String(), "configcheck-faults.golden")

	var missing strings.Builder
	assert.Equal(t, RunConfigCheck(filepath.Join(dir, "missing"), &missing), ExitFault)
	assert.Assert(t, strings.HasPrefix(missing.String(), "(folder): (file): read configuration directory: "))
}

// Guards against an invalid row or settings file that passes the check, or whose fault does not name the field.
func TestPlatformCheck(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	check := func(files platformFiles) (string, int) {
		var out strings.Builder
		code := RunPlatformCheck(files, &out)
		return strings.ReplaceAll(out.String(), dir+"/", ""), code
	}
	route := `{"name":"r","hostname":"h.example","prefix":"/x/","route_kind":"idempotent","service":"s"}`
	out, exit := check(platformFiles{rowPath: write("good.json", `{"version":1,"routes":[`+route+`],"services":[{"name":"s"}]}`)})
	assert.Equal(t, out, "")
	assert.Equal(t, exit, ExitOK)
	out, exit = check(platformFiles{rowPath: write("bad.json", `{"version":1,"routes":[`+route+`]}`)})
	assert.Equal(t, out, "bad.json: routes.r.service: \"s\" is not configured\n")
	assert.Equal(t, exit, ExitFault)
	out, _ = check(platformFiles{rowPath: write("kind.json", `{"version":1,"routes":[{"name":"r","route_kind":"odd"}]}`)})
	assert.Equal(t, out, "kind.json: configuration: routes[0]: route_kind: \"odd\" is unknown\n")
	out, exit = check(platformFiles{settingsPath: write("settings.json", `{"node_name":"n"}`)})
	assert.Equal(t, out, "settings.json: internal_ports: is missing\n")
	assert.Equal(t, exit, ExitFault)
}
