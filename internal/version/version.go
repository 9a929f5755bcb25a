// Package version tells which build a program is.
package version

import "runtime/debug"

// Number is the version of this source tree.
const Number = "0.1.0"

// shortRevision is how many characters of a commit are shown.
const shortRevision = 12

// String returns the version with the commit that it was built from, if known.
func String() string {
	information, found := debug.ReadBuildInfo()
	if !found {
		return Number
	}
	for _, setting := range information.Settings {
		if setting.Key == "vcs.revision" && len(setting.Value) >= shortRevision {
			return Number + " (" + setting.Value[:shortRevision] + ")"
		}
	}
	return Number
}
