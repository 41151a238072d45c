package cli

import (
	"fmt"
	"io"
	"os"

	"github.com/pollenlug/pollenlug/pkg/config"
	"github.com/pollenlug/pollenlug/platform"
)

// RunConfigCheck merges and validates the operators' folder in dir. It prints the merged configuration as JSON, or each
// fault as "file: field: reason", and returns the exit code. A directory that cannot be read is a fault of the folder.
func RunConfigCheck(dir string, stdout io.Writer) int {
	files, err := config.LoadDir(dir)
	if err != nil {
		fmt.Fprintln(stdout, config.Fault{File: config.WholeFolder, Field: config.WholeFile, Reason: err.Error()})
		return ExitFault
	}
	merged, faults := config.Merge(files)
	for _, fault := range faults {
		fmt.Fprintln(stdout, fault)
	}
	if len(faults) > 0 {
		return ExitFault
	}
	text, err := config.FormatJSON(merged)
	if err != nil {
		fmt.Fprintln(stdout, config.Fault{File: config.WholeFolder, Field: config.WholeFile, Reason: err.Error()})
		return ExitFault
	}
	if _, err := stdout.Write(text); err != nil {
		return ExitFault
	}
	return ExitOK
}

// platformFiles has the paths of platform files to check; an empty path is skipped.
type platformFiles struct{ settingsPath, rowPath string }

var noPlatformFiles platformFiles

// RunPlatformCheck checks files with the decoders that a node uses. It prints each fault as "file: field: reason" and
// returns the exit code.
func RunPlatformCheck(files platformFiles, stdout io.Writer) int {
	exitCode := ExitOK
	report := func(fault any) {
		exitCode = ExitFault
		fmt.Fprintln(stdout, fault)
	}
	if files.settingsPath != "" {
		if _, err := platform.LoadSettings(files.settingsPath); err != nil {
			report(err)
		}
	}
	if files.rowPath == "" {
		return exitCode
	}
	data, err := os.ReadFile(files.rowPath)
	if err != nil {
		report(err)
		return exitCode
	}
	cfg, err := platform.DecodeConfig(data)
	if err != nil {
		report(fmt.Sprintf("%s: %v", files.rowPath, err))
		return exitCode
	}
	for _, fault := range cfg.Faults() {
		report(fmt.Sprintf("%s: %v", files.rowPath, fault))
	}
	return exitCode
}
