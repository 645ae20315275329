package raft

// entryLog holds the entries after the last snapshot in memory.
type entryLog struct {
	snapshot Snapshot
	entries  []Entry
}

func (l *entryLog) firstIndex() uint64 { return l.snapshot.Index + 1 }

func (l *entryLog) lastIndex() uint64 { return l.snapshot.Index + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.lastIndex())
	return term
}

// term returns the term of the entry at index, or false if the log does not hold it.
func (l *entryLog) term(index uint64) (uint64, bool) {
	if index == l.snapshot.Index {
		return l.snapshot.Term, true
	}
	if index < l.firstIndex() || index > l.lastIndex() {
		return 0, false
	}
	return l.entries[index-l.firstIndex()].Term, true
}

// slice returns the entries from first to last inclusive, or nil if the range is not held.
func (l *entryLog) slice(first, last uint64) []Entry {
	if first < l.firstIndex() || first > last || last > l.lastIndex() {
		return nil
	}
	return l.entries[first-l.firstIndex() : last-l.firstIndex()+1]
}

// truncate removes the entry at index and all later entries.
func (l *entryLog) truncate(index uint64) {
	if index < l.firstIndex() {
		l.entries = nil
		return
	}
	if index <= l.lastIndex() {
		kept := l.entries[:index-l.firstIndex()]
		l.entries = append([]Entry(nil), kept...)
	}
}

func (l *entryLog) append(entries ...Entry) { l.entries = append(l.entries, entries...) }

// compact discards the entries that the snapshot covers. If the log conflicts with
// the snapshot, later entries are discarded too.
func (l *entryLog) compact(snapshot Snapshot) {
	if snapshot.Index <= l.snapshot.Index {
		return
	}
	var rest []Entry
	if term, held := l.term(snapshot.Index); held && term == snapshot.Term {
		rest = append(rest, l.slice(snapshot.Index+1, l.lastIndex())...)
	}
	l.snapshot = snapshot
	l.entries = rest
}

// membership returns the newest membership in the log or the snapshot, committed or
// not, and the index of its entry or of the snapshot.
func (l *entryLog) membership() (Membership, uint64) {
	for i := len(l.entries) - 1; i >= 0; i-- {
		if l.entries[i].Kind != EntryMembership {
			continue
		}
		if membership, err := DecodeMembership(l.entries[i].Data); err == nil {
			return membership, l.entries[i].Index
		}
	}
	return l.snapshot.Membership, l.snapshot.Index
}

// membershipAt returns the membership in effect at index.
func (l *entryLog) membershipAt(index uint64) Membership {
	for i := len(l.entries) - 1; i >= 0; i-- {
		entry := l.entries[i]
		if entry.Kind != EntryMembership || entry.Index > index {
			continue
		}
		if membership, err := DecodeMembership(entry.Data); err == nil {
			return membership
		}
	}
	return l.snapshot.Membership
}
