package daemon

import (
	"context"
	"time"
)

// Every calls do after each pause until the context ends.
func Every(ctx context.Context, pause time.Duration, do func()) error {
	ticker := time.NewTicker(pause)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			do()
		}
	}
}
