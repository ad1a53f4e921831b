package monitor

// Phase is the phase of a process in its life cycle.
type Phase string

const (
	// PhaseStarting is the phase before the process can serve, or in which it
	// temporarily cannot.
	PhaseStarting Phase = "starting"
	// PhaseReady is the phase in which the process serves.
	PhaseReady Phase = "ready"
	// PhaseLeaving is the phase of an orderly shutdown.
	PhaseLeaving Phase = "leaving"
)

// State is what /readyz returns, with the HTTP status 200 in PhaseReady and 503
// in the other phases.
type State struct {
	// Phase is the phase of the process.
	Phase Phase
	// Reason explains why the process is in this phase; it may be empty.
	Reason string
}

// String returns the phase and, after a colon, the reason if there is one.
func (s State) String() string {
	if s.Reason == "" {
		return string(s.Phase)
	}
	return string(s.Phase) + ": " + s.Reason
}

// SetState sets the state of the process and logs a change.
func (s *Server) SetState(state State) {
	old := s.state.Swap(&state)
	if *old == state {
		return
	}
	s.cfg.Log.WithField("from", old.Phase).WithField("phase", state.Phase).
		WithField("reason", state.Reason).Info("state changed")
}
