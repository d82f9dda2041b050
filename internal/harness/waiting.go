package harness

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// sleepContext waits for d, or until the context ends.
func sleepContext(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// awaitUntil polls a condition at an interval until it returns nil. After the timeout it returns the condition's
// latest error.
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
