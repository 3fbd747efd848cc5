// ================================================================
// The part of the log that is in memory: all entries after the snapshot, and
// some before it for members that lag a little.
// ================================================================

package controllog

// entryLog holds entries first..last; the one before first is known by term.
type entryLog struct {
	baseIndex uint64
	baseTerm  uint64
	entries   []Entry
}

func (l *entryLog) first() uint64 { return l.baseIndex + 1 }

func (l *entryLog) last() uint64 { return l.baseIndex + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	if len(l.entries) == 0 {
		return l.baseTerm
	}
	return l.entries[len(l.entries)-1].term
}

// term returns the term of an entry; false when it is not in memory.
func (l *entryLog) term(index uint64) (uint64, bool) {
	if index == l.baseIndex {
		return l.baseTerm, true
	}
	if index < l.first() || index > l.last() {
		return 0, false
	}
	return l.entries[index-l.first()].term, true
}

// slice returns entries from..to inclusive, at most maxBytes of data but never
// none when there is one.
func (l *entryLog) slice(from, to uint64, maxBytes int) []Entry {
	from, to = max(from, l.first()), min(to, l.last())
	if from > to {
		return nil
	}
	entries := l.entries[from-l.first() : to-l.first()+1]
	size := 0
	for i, e := range entries {
		size += len(e.data)
		if size > maxBytes && i > 0 {
			return entries[:i:i]
		}
	}
	return entries[:len(entries):len(entries)]
}

func (l *entryLog) append(e ...Entry) { l.entries = append(l.entries, e...) }

// truncate removes index and all after it.
func (l *entryLog) truncate(index uint64) {
	l.entries = l.entries[: index-l.first() : index-l.first()]
}

// compactIndex returns the index before which entries may be forgotten, so that at
// most count entries of maxBytes of data stay before index.
func (l *entryLog) compactIndex(index uint64, count, maxBytes int) uint64 {
	size := 0
	for kept := 0; index > l.baseIndex && kept < count; kept++ {
		e := l.entries[index-l.first()]
		if size += len(e.data); size > maxBytes {
			return index
		}
		index--
	}
	return index
}

// compact forgets entries up to index, which must be in memory.
func (l *entryLog) compact(index uint64) {
	term, ok := l.term(index)
	if !ok || index <= l.baseIndex {
		return
	}
	l.entries = append([]Entry(nil), l.entries[index-l.baseIndex:]...)
	l.baseIndex, l.baseTerm = index, term
}

// reset starts the log after a snapshot.
func (l *entryLog) reset(index, term uint64) {
	*l = entryLog{baseIndex: index, baseTerm: term}
}

// upToDate tells whether a log that ends with (index, term) is at least as
// late as this one, which is what a vote asks.
func (l *entryLog) upToDate(index, term uint64) bool {
	return term > l.lastTerm() || (term == l.lastTerm() && index >= l.last())
}
