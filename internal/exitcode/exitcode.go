// Package exitcode names the exit codes that all programs of this module share.
package exitcode

// The exit codes.
const (
	// OK means that the program did what it was asked.
	OK = 0
	// Failure means that something went wrong at run time.
	Failure = 1
	// Usage means that the command line was wrong; nothing was done.
	Usage = 2
	// InvalidSettings means that a settings or configuration file has findings;
	// nothing was done.
	InvalidSettings = 3
)
