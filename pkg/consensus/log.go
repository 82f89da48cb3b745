package consensus

import "fmt"

// lastIndex returns the index of the last log entry, or of the snapshot if the log is
// empty.
func (n *Node) lastIndex() uint64 { return n.snap.Index + uint64(len(n.log)) }

// termAt returns the term of the entry at index, which must be in the log or the last
// entry that the snapshot covers.
func (n *Node) termAt(index uint64) uint64 {
	if index == n.snap.Index {
		return n.snap.Term
	}
	return n.log[index-n.snap.Index-1].Term
}

// hasEntry reports whether the log or the end of the snapshot has an entry with this
// index and term.
func (n *Node) hasEntry(index, term uint64) bool {
	return index >= n.snap.Index && index <= n.lastIndex() && n.termAt(index) == term
}

// copyEntries returns a copy of the entries from first to last, both included.
func (n *Node) copyEntries(first, last uint64) []Entry {
	return append([]Entry(nil), n.log[first-n.snap.Index-1:last-n.snap.Index]...)
}

// appendLocal appends an entry of the current term to the log of the leader and
// returns its index.
func (n *Node) appendLocal(kind EntryKind, data []byte) uint64 {
	e := Entry{Term: n.term, Index: n.lastIndex() + 1, Kind: kind, Data: data}
	n.log = append(n.log, e)
	n.trackTableChange(e)
	return e.Index
}

// truncate removes the entry at index and all entries after it. It panics if one of
// them is committed.
func (n *Node) truncate(index uint64) {
	if index <= n.commitIndex {
		panic(fmt.Sprintf("consensus: entry %d would be removed below the commit index %d", index, n.commitIndex))
	}
	n.log = n.log[: index-n.snap.Index-1 : index-n.snap.Index-1]
	n.issuedIndex, n.durableIndex = min(n.issuedIndex, index-1), min(n.durableIndex, index-1)
	for i, c := range n.tableChanges {
		if c.index >= index {
			n.tableChanges = n.tableChanges[:i:i]
			break
		}
	}
	n.refreshTables()
}

// commitTo advances the commit index; it never moves back.
func (n *Node) commitTo(index uint64) {
	if index <= n.commitIndex {
		return
	}
	if index > n.lastIndex() {
		panic(fmt.Sprintf("consensus: commit index %d above the last entry %d", index, n.lastIndex()))
	}
	n.commitIndex = index
	n.refreshTables()
}

// setSnapshot replaces the current snapshot. The caller has already trimmed the log to
// the entries after s.
func (n *Node) setSnapshot(s Snapshot) {
	n.snap = s
	n.snapPending = true
	n.commitIndex = max(n.commitIndex, s.Index)
	n.issuedIndex, n.durableIndex = max(n.issuedIndex, s.Index), max(n.durableIndex, s.Index)
	n.tableChanges = nil
	for _, e := range n.log {
		n.trackTableChange(e)
	}
	n.refreshTables()
}
