package daemon

import (
	"context"
	"time"
)

// Every calls do at intervals of pause until the context ends. It does not call do at once.
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
