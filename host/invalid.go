package host

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
)

const (
	// invalidLogInterval is the time for which maxInvalidLines limits the log lines about
	// invalid elements of one source.
	invalidLogInterval = time.Minute
	// maxInvalidLines is the largest number of log lines about invalid elements of one
	// source in invalidLogInterval.
	maxInvalidLines = 10
)

// source is where elements come from that other programs have written. Its text is the label
// value of the counter of invalid elements.
type source string

// Sources of elements.
const (
	targetSource     source = "target"
	hostSource       source = "host"
	configSource     source = "config"
	evacuationSource source = "evacuation"
	messageSource    source = "message"
	packetSource     source = "packet"
	settingSource    source = "setting"
)

// invalidElements counts and logs elements that other programs have written and that are
// invalid. An element that is read again and again causes one log line in each
// invalidLogInterval. It is safe for concurrent use.
type invalidElements struct {
	log log.Interface
	// now returns the time since the start of the process.
	now      func() time.Duration
	counters map[source]*metrics.Counter

	mu      sync.Mutex
	windows map[source]*logWindow
}

// logWindow is the state of the limit of log lines of one source.
type logWindow struct {
	startedAt time.Duration
	// logged are the texts of the lines in the window.
	logged map[string]bool
	// omitted is the number of elements without a line of their own since the last line.
	omitted int
}

func newInvalidElements(set *metrics.Set, logger log.Interface, now func() time.Duration) *invalidElements {
	e := &invalidElements{log: logger, now: now, counters: map[source]*metrics.Counter{}, windows: map[source]*logWindow{}}
	for _, s := range []source{targetSource, hostSource, configSource, evacuationSource, messageSource, packetSource, settingSource} {
		e.counters[s] = set.NewCounter(`wisteriaweir_invalid_elements_total{source="` + string(s) + `"}`)
	}
	return e
}

// count counts an invalid element without a log line.
func (e *invalidElements) count(s source) {
	e.counters[s].Inc()
}

// report counts an invalid element, and logs it with the given message unless the limit of log
// lines forbids it. err describes the element and the problem.
func (e *invalidElements) report(s source, message string, err error) {
	e.count(s)
	e.mu.Lock()
	defer e.mu.Unlock()
	w := e.window(s)
	text := err.Error()
	if w.logged[text] || len(w.logged) >= maxInvalidLines {
		w.omitted++
		return
	}
	w.logged[text] = true
	e.log.WithError(err).WithField("omitted", w.omitted).Warn(message)
	w.omitted = 0
}

// reportAll reports several elements of one source.
func (e *invalidElements) reportAll(s source, message string, errs []error) {
	for _, err := range errs {
		e.report(s, message, err)
	}
}

// window returns the current window of a source. The caller holds mu.
func (e *invalidElements) window(s source) *logWindow {
	w := e.windows[s]
	if now := e.now(); w == nil || now-w.startedAt >= invalidLogInterval {
		omitted := 0
		if w != nil {
			omitted = w.omitted
		}
		w = &logWindow{startedAt: now, logged: map[string]bool{}, omitted: omitted}
		e.windows[s] = w
	}
	return w
}
