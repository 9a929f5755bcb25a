package static

import (
	"errors"
	"fmt"
	"io"

	"github.com/lotusward/lotusward/internal/exitcode"
	"github.com/lotusward/lotusward/internal/finding"
)

// CheckFile loads a settings file as a daemon would, writes all findings to
// output, one a line, and returns the program's exit code.
func CheckFile(output io.Writer, path string, overrides Overrides) int {
	_, err := LoadFile(path, overrides)
	return Report(output, path, err)
}

// Report writes the result of loading a settings file and returns the program's
// exit code.
func Report(output io.Writer, path string, err error) int {
	if err == nil {
		fmt.Fprintf(output, "%s: settings are valid\n", path)
		return exitcode.OK
	}
	fmt.Fprintln(output, err)
	var findings *finding.Error
	if !errors.As(err, &findings) {
		return exitcode.Failure
	}
	fmt.Fprintf(output, "findings: %d\n", len(findings.Findings))
	return exitcode.InvalidSettings
}
