package prove

import (
	"testing"

	"github.com/tidepost/tidepost/internal/bubble"
)

func TestWorldServes(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		w := newWorld(t, 1)
		defer w.stop()
		w.start()
		body, a := w.chat("entry-4", "first")
		if !a.whole() || a.body != wholeAnswer(body) {
			t.Errorf("answer %+v", a)
		}
		w.eventually("the plain service", func() bool { return w.order("entry-2", "", "try").whole() })
		if a := w.order("entry-2", "key-1", "flour"); a.body != "done:flour" {
			t.Errorf("order %+v", a)
		}
	})
}
