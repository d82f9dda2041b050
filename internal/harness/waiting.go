package harness

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// pause waits for a while, or until the context ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// awaitUntil looks again and again, at a pace, until a condition holds. Its error says why it did not hold at last.
func awaitUntil(ctx context.Context, within, pace time.Duration, holds func() error) error {
	var err error
	for end := time.Now().Add(within); time.Now().Before(end) && ctx.Err() == nil; {
		if err = holds(); err == nil {
			return nil
		}
		time.Sleep(pace)
	}
	return fmt.Errorf("not within %v: %w", within, errors.Join(err, ctx.Err()))
}
