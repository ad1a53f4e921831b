package rollout

import (
	"wisteriaweir/fleet"
	"wisteriaweir/service"
)

// State is the complete state that all balancers share: the fleet, and the
// configuration that the fleet's head names.
type State struct {
	Fleet  fleet.Fleet    `json:"fleet"`
	Config service.Config `json:"config"`
}

// validate returns a *ReleaseError if the configuration is not the one that the
// fleet's head names.
func (s State) validate() error {
	if s.Config.Number != s.Fleet.Head.Number || s.Config.Digest != s.Fleet.Head.Digest {
		return &ReleaseError{Number: s.Fleet.Number, Reason: "its configuration is not the one that its head names"}
	}
	return nil
}
