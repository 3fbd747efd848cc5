// ================================================================
// Which node a follower asks for a new document. Documents are large and links between failure
// domains narrow, so one node is asked, and a near one first.
// ================================================================

package feed

import (
	"time"

	"github.com/tidepost/tidepost/pkg/link"
)

const (
	// askAgain is when a document is asked of another node.
	askAgain = 400 * time.Millisecond
	// nearFirst is how long nodes of other failure domains wait for one of the own to have
	// the document too.
	nearFirst = 150 * time.Millisecond
)

// askSoon asks a node for its document: at once where it is near or no near
// node is heard, else when no near one had it in time. A failure to send shows
// in the reading.
func (f *Follower) askSoon(stream *link.Stream, number uint64) {
	ask := func() {
		if f.claimAsk(number) {
			_ = stream.Send(Word{ask: true})
		}
	}
	if f.isNear(stream) || !f.hearsNear() {
		ask()
		return
	}
	time.AfterFunc(nearFirst, ask)
}

// claimAsk tells whether a node may be asked for a document: it is newer than
// the one held, and no other node was asked for it just now.
func (f *Follower) claimAsk(number uint64) bool {
	if number <= f.Held() {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if number <= f.asked && now.Sub(f.askedAt) < askAgain {
		return false
	}
	f.asked, f.askedAt = number, now
	return true
}

func (f *Follower) isNear(stream *link.Stream) bool {
	return stream.Peer().Domain() == f.Hello.Self().Domain()
}

// hearsNear tells whether a node of the own failure domain is heard that would have a new
// document by now.
func (f *Follower) hearsNear() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	for _, s := range f.streams {
		if s.stream != nil && f.isNear(s.stream) && now.Sub(s.sure) < quietAfter {
			return true
		}
	}
	return false
}
