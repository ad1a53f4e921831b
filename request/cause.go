package request

// Cause says why a caller is told OutcomeUnknown, for logs.
type Cause uint8

const (
	// CauseNone goes with the other final answers.
	CauseNone Cause = iota
	// CausePause is a pause of the balancer.
	CausePause
	// CauseBounds says that there was no room for the request.
	CauseBounds
	// CauseClaim says that the holders did not vote by the deadline.
	CauseClaim
	// CauseHolders says that no majority of the holders is in the view.
	CauseHolders
	// CauseOwner says that the owner of the claim did not answer, is not known
	// or does not know the request.
	CauseOwner
	// CauseTarget says that a target did not answer by the deadline.
	CauseTarget
	// CausePush says that a keeper of another failure domain did not answer.
	CausePush
	// CauseCoordinator says that the keeper did not tell the end of the request.
	CauseCoordinator
	// CauseRefused says that the request cannot be run in time, and that another
	// copy of it may have run.
	CauseRefused
)

func (c Cause) String() string {
	return [...]string{
		"none", "pause", "bounds", "claim", "holders", "owner", "target", "push", "keeper", "refused",
	}[c]
}
