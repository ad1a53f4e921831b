package flow_test

import (
	"flag"
	"os"
	"testing"
)

// scheduleCount is the number of random schedules per property test unless
// -rapid.checks is set. Each schedule simulates minutes of a fleet.
const scheduleCount = "8"

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.checks"); f.Value.String() == f.DefValue {
		_ = f.Value.Set(scheduleCount)
	}
	os.Exit(m.Run())
}
