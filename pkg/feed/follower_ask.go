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
	// documentRetryDelay is when a document is asked of another node.
	documentRetryDelay = 400 * time.Millisecond
	// remoteRequestDelay is how long nodes of other failure domains wait for one of the own to have
	// the document too.
	remoteRequestDelay = 150 * time.Millisecond
)

// requestDocument asks a node for its document: at once where it is near or no near
// node is heard, else when no near one had it in time. A failure to send shows
// in the reading.
func (f *Follower) requestDocument(stream *link.Stream, number uint64) {
	ask := func() {
		if f.claimDocumentRequest(number) {
			_ = stream.Send(FollowerMessage{requestDocument: true})
		}
	}
	if f.isLocalDomain(stream) || !f.hasLocalNode() {
		ask()
		return
	}
	time.AfterFunc(remoteRequestDelay, ask)
}

// claimDocumentRequest tells whether a node may be asked for a document: it is newer than
// the one held, and no other node was asked for it just now.
func (f *Follower) claimDocumentRequest(number uint64) bool {
	if number <= f.DocumentNumber() {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if number <= f.requestedNumber && now.Sub(f.requestedAt) < documentRetryDelay {
		return false
	}
	f.requestedNumber, f.requestedAt = number, now
	return true
}

func (f *Follower) isLocalDomain(stream *link.Stream) bool {
	return stream.Peer().Domain() == f.Hello.Self().Domain()
}

// hasLocalNode tells whether a node of the own failure domain is heard that would have a new
// document by now.
func (f *Follower) hasLocalNode() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	for _, s := range f.streams {
		if s.stream != nil && f.isLocalDomain(s.stream) && now.Sub(s.quorumAt) < quietTimeout {
			return true
		}
	}
	return false
}
