package balancer

import (
	"context"
	"errors"

	"wisteriaweir/platform"
	"wisteriaweir/ticket"
)

// storeStatus writes the status object of a failure domain to the platform,
// unless a lease holder with a higher fencing number has written it already.
func storeStatus(ctx context.Context, client *platform.Client, s ticket.Status) error {
	var version uint64
	o, err := client.Get(ctx, ticket.StatusPath(s.Domain))
	switch {
	case errors.As(err, new(*platform.NotFoundError)):
	case err != nil:
		return err
	default:
		version = o.Version
		if old, err := ticket.ParseStatus(s.Domain, o.Value); err == nil && old.Fence > s.Fence {
			return nil
		}
	}
	_, err = client.Put(ctx, ticket.StatusPath(s.Domain), version, s.Encode())
	return err
}
