package cli

import (
	"fmt"
	"io"
	"os"

	"github.com/pollenlug/pollenlug/pkg/config"
	"github.com/pollenlug/pollenlug/platform"
)

// RunConfigCheck merges and validates the operators' folder in dir. It prints the merged result as JSON, or each
// fault as "file: field: reason". A directory that cannot be read is a fault of the folder.
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

// platformFiles are files of the users' platform; an empty path is not checked.
type platformFiles struct{ settings, row string }

var noPlatformFiles platformFiles

// RunPlatformCheck checks files as a node reads them. It prints each fault as "file: field: reason".
func RunPlatformCheck(files platformFiles, stdout io.Writer) int {
	result := ExitOK
	report := func(fault any) {
		result = ExitFault
		fmt.Fprintln(stdout, fault)
	}
	if files.settings != "" {
		if _, err := platform.LoadSettings(files.settings); err != nil {
			report(err)
		}
	}
	if files.row == "" {
		return result
	}
	data, err := os.ReadFile(files.row)
	if err != nil {
		report(err)
		return result
	}
	c, err := platform.DecodeConfig(data)
	if err != nil {
		report(fmt.Sprintf("%s: %v", files.row, err))
		return result
	}
	for _, fault := range c.Faults() {
		report(fmt.Sprintf("%s: %v", files.row, fault))
	}
	return result
}
