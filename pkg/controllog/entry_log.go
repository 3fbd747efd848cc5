// ================================================================
// The part of the log that is kept in memory: all entries after the snapshot,
// and some of those before it for members that lag by a few entries.
// ================================================================

package controllog

// entryLog holds the entries first..last. Of the entry before first (the base) it
// holds the index and the term.
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

// term returns the term of the entry at index, and false when it is not in memory.
func (l *entryLog) term(index uint64) (uint64, bool) {
	if index == l.baseIndex {
		return l.baseTerm, true
	}
	if index < l.first() || index > l.last() {
		return 0, false
	}
	return l.entries[index-l.first()].term, true
}

// slice returns the entries from..to inclusive, limited to maxBytes of data. The
// first of them is returned even if it alone exceeds maxBytes.
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

func (l *entryLog) append(entries ...Entry) { l.entries = append(l.entries, entries...) }

// truncate removes the entry at index and all after it.
func (l *entryLog) truncate(index uint64) {
	l.entries = l.entries[: index-l.first() : index-l.first()]
}

// compactIndex returns the index up to which entries may be removed so that at most
// count entries, with at most maxBytes of data, remain up to index.
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

// compact removes the entries up to index. It does nothing if index is not in memory.
func (l *entryLog) compact(index uint64) {
	term, ok := l.term(index)
	if !ok || index <= l.baseIndex {
		return
	}
	l.entries = append([]Entry(nil), l.entries[index-l.baseIndex:]...)
	l.baseIndex, l.baseTerm = index, term
}

// reset empties the log; the next entry follows index.
func (l *entryLog) reset(index, term uint64) {
	*l = entryLog{baseIndex: index, baseTerm: term}
}

// upToDate reports whether a log that ends with (index, term) is at least as up to
// date as this one, which a candidate's log must be to get a vote.
func (l *entryLog) upToDate(index, term uint64) bool {
	return term > l.lastTerm() || (term == l.lastTerm() && index >= l.last())
}
