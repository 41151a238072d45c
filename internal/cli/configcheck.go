package cli

import (
	"fmt"
	"io"

	"github.com/pollenlug/pollenlug/pkg/config"
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
	text, err := config.Text(merged)
	if err != nil {
		fmt.Fprintln(stdout, config.Fault{File: config.WholeFolder, Field: config.WholeFile, Reason: err.Error()})
		return ExitFault
	}
	if _, err := stdout.Write(text); err != nil {
		return ExitFault
	}
	return ExitOK
}
