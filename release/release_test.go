package release

import (
	"runtime/debug"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestString guards against builds of different commits that look alike in logs.
func TestString(t *testing.T) {
	for _, test := range []struct {
		settings []debug.BuildSetting
		want     string
	}{
		{nil, Version},
		{[]debug.BuildSetting{{Key: "vcs.revision", Value: "2296a3ab8ccd0123456789"}, {Key: "vcs.modified", Value: "false"}}, Version + "+2296a3ab8ccd"},
		{[]debug.BuildSetting{{Key: "vcs.revision", Value: "2296a3a"}, {Key: "vcs.modified", Value: "true"}}, Version + "+2296a3a.modified"},
	} {
		qt.Check(t, fromSettings(test.settings).String(), qt.Equals, test.want)
	}
}
