package hosting

import (
	"runtime/debug"
	"strings"
)

// unknownBuild replaces missing build information.
const unknownBuild = "unknown"

// Keys of the build settings that the Go command embeds.
const (
	keyRevision = "vcs.revision"
	keyTime     = "vcs.time"
	keyModified = "vcs.modified"
)

// Version returns the build information on one line: module version, VCS revision and
// time, whether the work tree was modified, and the Go version.
func Version() string {
	build, known := debug.ReadBuildInfo()
	if !known {
		return unknownBuild
	}
	return versionOf(build)
}

func versionOf(build *debug.BuildInfo) string {
	values := map[string]string{}
	for _, setting := range build.Settings {
		values[setting.Key] = setting.Value
	}
	revision := values[keyRevision]
	if revision == "" {
		revision = unknownBuild
	}
	parts := []string{build.Main.Version, "revision", revision}
	if values[keyTime] != "" {
		parts = append(parts, "of", values[keyTime])
	}
	if values[keyModified] == "true" {
		parts = append(parts, "with changes")
	}
	return strings.Join(append(parts, "built with", build.GoVersion), " ")
}
