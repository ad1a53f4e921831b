package monitor

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
)

// NewLogger returns a logger that writes to w. The level is debug, info, warn
// or error, the format text or json; other values give a *LogError.
func NewLogger(level, format string, w io.Writer) (*log.Logger, error) {
	l, err := log.ParseLevel(level)
	if err != nil {
		return nil, &LogError{Level: level, Format: format}
	}
	switch format {
	case "text":
		return &log.Logger{Level: l, Handler: &textHandler{w: w}}, nil
	case "json":
		return &log.Logger{Level: l, Handler: json.New(w)}, nil
	default:
		return nil, &LogError{Level: level, Format: format}
	}
}

// textHandler writes each entry as one line without colors: time, level,
// message, fields.
type textHandler struct {
	mu sync.Mutex
	w  io.Writer
}

// HandleLog implements log.Handler.
func (h *textHandler) HandleLog(e *log.Entry) error {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %-5s %s", e.Timestamp.UTC().Format(time.RFC3339Nano), e.Level, e.Message)
	for _, name := range e.Fields.Names() {
		fmt.Fprintf(&b, " %s=%s", name, fieldText(e.Fields.Get(name)))
	}
	b.WriteByte('\n')
	h.mu.Lock()
	defer h.mu.Unlock()
	_, err := io.WriteString(h.w, b.String())
	return err
}

// fieldText returns v as text, quoted if it is empty or contains a space, a
// line break, a tab, a quotation mark or an equals sign.
func fieldText(v any) string {
	s := fmt.Sprint(v)
	if s == "" || strings.ContainsAny(s, " =\"\n\t") {
		return fmt.Sprintf("%q", s)
	}
	return s
}

// debugWriter logs each write as one line of level debug. The HTTP server writes
// its error log to it. The level is debug because clients can cause many lines.
type debugWriter struct {
	log log.Interface
}

// Write implements io.Writer.
func (w *debugWriter) Write(b []byte) (int, error) {
	w.log.Debug("monitor: " + strings.TrimSpace(string(b)))
	return len(b), nil
}
