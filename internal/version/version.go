// Package version provides the version of the build.
package version

import "runtime/debug"

// Release is the release version of the source code.
const Release = "0.1.0"

// String returns the release, followed by the VCS revision if the toolchain
// recorded one in the build.
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
