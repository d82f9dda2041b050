package harness

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// sleepContext waits for a while, or until the context ends.
func sleepContext(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// awaitUntil looks again and again, at a pace, until a condition holds. Its error says why it did not hold at last.
func awaitUntil(ctx context.Context, within, interval time.Duration, condition func() error) error {
	var err error
	for end := time.Now().Add(within); time.Now().Before(end) && ctx.Err() == nil; {
		if err = condition(); err == nil {
			return nil
		}
		time.Sleep(interval)
	}
	return fmt.Errorf("not within %v: %w", within, errors.Join(err, ctx.Err()))
}
