package request

// Cause is the reason for an OutcomeUnknown, for logs.
type Cause uint8

const (
	// CauseNone is set for all other outcomes.
	CauseNone Cause = iota
	// CausePause means that the process of the balancer paused for longer than
	// Times.MaxPause.
	CausePause
	// CauseBounds means that a limit of Limits was reached.
	CauseBounds
	// CauseClaim means that the claim holders did not vote by the deadline.
	CauseClaim
	// CauseHolders means that no majority of the holders of the claim is reachable in
	// the local view.
	CauseHolders
	// CauseOwner means that the claim owner did not respond or is not reachable.
	CauseOwner
	// CauseTarget means that a target did not respond by the deadline.
	CauseTarget
	// CausePush means that the coordinator that the request was pushed to did not
	// report its end.
	CausePush
	// CauseCoordinator means that the coordinator did not report the end of the
	// request by the deadline. Its text is "keeper".
	CauseCoordinator
	// CauseRefused means that the request cannot be run before its deadline, and
	// that another copy of it may have run.
	CauseRefused
	// CauseNoOwner means that the votes are split so that no claimant can be the owner
	// of the claim, or that two balancers consider each other the owner.
	CauseNoOwner
	// CauseOwnerDenies means that the balancer that was expected to own the claim does
	// not know the request or considers another one the owner.
	CauseOwnerDenies
)

// String returns c as one word, for logs.
func (c Cause) String() string {
	return [...]string{
		"none", "pause", "bounds", "claim", "holders", "owner", "target", "push", "keeper", "refused", "no_owner", "owner_denies",
	}[c]
}
