// ================================================================
// Selects the node that a follower requests a new document from. Documents are large and links
// between failure domains are narrow, so only one node is asked, preferably one in the same failure
// domain.
// ================================================================

package feed

import (
	"time"

	"github.com/tidepost/tidepost/pkg/daemon"
	"github.com/tidepost/tidepost/pkg/link"
)

const (
	// documentRetryDelay is the time after which the document is requested from another node.
	documentRetryDelay = 400 * time.Millisecond
	// remoteRequestDelay is how long a request to another failure domain waits for a node of the
	// follower's own one to have the document too.
	remoteRequestDelay = 150 * time.Millisecond
)

// requestDocument requests the document from a node: at once if the node is in the follower's own
// failure domain or no such node is connected, else after remoteRequestDelay unless the document
// has arrived. The stream may have been closed by then; its receiving goroutine handles that.
func (f *Follower) requestDocument(stream *link.Stream, number uint64) {
	send := func() {
		if f.claimDocumentRequest(stream, number) && stream.Send(FollowerMessage{requestDocument: true}) != nil {
			f.releaseDocumentRequest(stream)
		}
	}
	if f.isLocalDomain(stream) || !f.hasLocalNode() {
		send()
		return
	}
	time.AfterFunc(remoteRequestDelay, send)
}

// claimDocumentRequest reports whether the document may be requested now: it is newer than the one
// in force, and was not requested from another node within documentRetryDelay.
func (f *Follower) claimDocumentRequest(stream *link.Stream, number uint64) bool {
	if number <= f.DocumentNumber() {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if number <= f.requestedNumber && now.Sub(f.requestedAt) < documentRetryDelay {
		return false
	}
	f.requestedNumber, f.requestedAt, f.requestedFrom = number, now, stream
	return true
}

// releaseDocumentRequest lets another node be asked at once, because a request was not sent.
func (f *Follower) releaseDocumentRequest(stream *link.Stream) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if stream == f.requestedFrom {
		f.requestedFrom, f.requestedAt = nil, time.Time{}
	}
}

// awaitsDocument reports whether a requested document is still to come from a node. Closing its
// stream would lose it, and the next request waits for an Update of another node. The caller holds
// the lock.
func (f *Follower) awaitsDocument(s *followedNode) bool {
	return s.stream != nil && s.stream == f.requestedFrom
}

// recordDocument records that a node has sent a document: the one that was asked, or another one that
// sent what was requested.
func (f *Follower) recordDocument(stream *link.Stream, number uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.requestedFrom != nil && (stream == f.requestedFrom || number >= f.requestedNumber) {
		f.requestedFrom = nil
		daemon.Wake(f.wake)
	}
}

func (f *Follower) isLocalDomain(stream *link.Stream) bool {
	return stream.Peer().Domain() == f.Hello.Self().Domain()
}

// hasLocalNode reports whether a node of the follower's own failure domain is connected and recent
// enough to have a new document soon.
func (f *Follower) hasLocalNode() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	for _, s := range f.streams {
		if s.stream != nil && f.isLocalDomain(s.stream) && now.Sub(s.quorumAt) < fallbackTimeout {
			return true
		}
	}
	return false
}
