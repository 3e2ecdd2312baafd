// Package poll waits for conditions by checking them repeatedly.
package poll

import (
	"context"
	"errors"
	"time"
)

// interval is the time between two checks.
const interval = 10 * time.Millisecond

// Until calls check every interval until check returns nil. If ctx ends first, Until returns the last error of check
// joined with the error of ctx.
func Until(ctx context.Context, check func() error) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		err := check()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Join(err, ctx.Err())
		case <-ticker.C:
		}
	}
}
