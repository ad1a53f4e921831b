// Package release names the build of the running program, so that logs, dumps and metrics of a
// mixed fleet show which host runs what during an upgrade.
//
// # Usage
//
//	fmt.Println(release.Current()) // 0.1.0+2296a3ab8ccd
//
// The commit comes from the build information that the Go tool chain adds to a program that is
// built in a checkout. It is empty otherwise.
package release

import (
	"runtime/debug"
)

// Version is the release of the program, as CHANGELOG.md lists it.
const Version = "0.1.0"

// shortCommit is the length of a shortened commit, in hex digits.
const shortCommit = 12

// Release is one build of the program.
type Release struct {
	Version string
	// Commit is the full hash of the commit that was built, empty if it is not known.
	Commit string
	// Modified reports whether the checkout differed from the commit.
	Modified bool
}

// Current returns the release of the running program.
func Current() Release {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return Release{Version: Version}
	}
	return fromSettings(info.Settings)
}

// fromSettings returns the release that the build settings of a program describe.
func fromSettings(settings []debug.BuildSetting) Release {
	r := Release{Version: Version}
	for _, s := range settings {
		switch s.Key {
		case "vcs.revision":
			r.Commit = s.Value
		case "vcs.modified":
			r.Modified = s.Value == "true"
		}
	}
	return r
}

// String returns the version, followed by the shortened commit, if it is known, and by a mark
// of a modified checkout.
func (r Release) String() string {
	s := r.Version
	if r.Commit != "" {
		s += "+" + r.Commit[:min(len(r.Commit), shortCommit)]
	}
	if r.Modified {
		s += ".modified"
	}
	return s
}
