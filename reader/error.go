package reader

import (
	"fmt"

	"wisteriaweir/catalog"
)

// UpdateSizeError reports an update that needs more fragments than decoders accept.
type UpdateSizeError struct {
	// Position is the store's position after the update.
	Position catalog.Position
	// Fragments is the number of fragments that the update needs.
	Fragments int
	// MaxFragments is the largest number that decoders accept.
	MaxFragments int
}

func (e *UpdateSizeError) Error() string {
	return fmt.Sprintf("reader: update to position %v needs %d fragments, more than the maximum of %d", e.Position, e.Fragments, e.MaxFragments)
}
