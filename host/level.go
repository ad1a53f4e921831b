package host

import (
	"math"
	"strconv"
	"time"

	"github.com/apex/log"

	"wisteriaweir/placement"
)

const (
	// levelPollInterval is the time between two reads of the admission levels.
	levelPollInterval = 100 * time.Millisecond
	// levelLogInterval is the minimum time between two log lines about the admission level
	// of one service.
	levelLogInterval = time.Second
)

// levelMonitor exports the admission levels of the services and logs when one leaves 0 or
// returns to it.
type levelMonitor struct {
	// polledAt is when the levels were last read.
	polledAt time.Duration
	// services holds what was logged last for each service whose level ever left 0.
	services map[string]loggedLevel
}

// loggedLevel is what the last log line about the level of a service states.
type loggedLevel struct {
	// raised reports whether the level was above 0.
	raised bool
	// at is when the line was logged, 0 if there was none.
	at time.Duration
}

// isDue reports whether a line about a level has to be logged now. raised reports whether the
// level is above 0. A line that the rate limit suppresses becomes due later if it is still
// true then.
func (l loggedLevel) isDue(now time.Duration, raised bool) bool {
	return raised != l.raised && (l.at == 0 || now-l.at >= levelLogInterval)
}

// watchLevels exports and logs the admission levels.
func (f *forwarder) watchLevels() {
	now := f.h.now()
	if f.h.cfg.SharedAdmission == placement.NoSharedAdmission || now-f.levels.polledAt < levelPollInterval {
		return
	}
	f.levels.polledAt = now
	levels := f.core.Levels(now)
	for service := range levels {
		if _, ok := f.levels.services[service]; !ok {
			f.levels.services[service] = loggedLevel{}
		}
	}
	for service, logged := range f.levels.services {
		level := levels[service]
		f.h.metrics.GetOrCreateGauge("wisteriaweir_admission_level{service="+strconv.Quote(service)+"}", nil).Set(level)
		if !logged.isDue(now, level > 0) {
			continue
		}
		f.levels.services[service] = loggedLevel{raised: level > 0, at: now}
		message := "host: admission level left 0"
		if level == 0 {
			message = "host: admission level returned to 0"
		}
		f.h.log.WithFields(log.Fields{"service": service, "level": math.Round(level*100) / 100}).Info(message)
	}
}
