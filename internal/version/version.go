// Package version names the build.
package version

import "runtime/debug"

// Release is the version of the source; the build's revision is added to it
// where the toolchain recorded one.
const Release = "0.1.0"

// String gives the release and, if known, the revision it was built from.
func String() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return Release
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return Release + " (" + s.Value + ")"
		}
	}
	return Release
}
