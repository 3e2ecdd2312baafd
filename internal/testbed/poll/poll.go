// Package poll waits for conditions that nothing notifies of.
package poll

import (
	"context"
	"errors"
	"time"
)

// interval is the time between two checks.
const interval = 10 * time.Millisecond

// Until calls check until it returns nil. Where ctx ends first it returns the last error of check joined with that of
// ctx.
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
