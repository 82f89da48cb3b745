package consensus

import "fmt"

func (n *Node) lastIndex() uint64 { return n.snap.Index + uint64(len(n.log)) }

// termAt returns the term of the entry at index, which is in the log or the
// last one of the snapshot.
func (n *Node) termAt(index uint64) uint64 {
	if index == n.snap.Index {
		return n.snap.Term
	}
	return n.log[index-n.snap.Index-1].Term
}

// matches tells whether the log holds an entry with this index and term.
func (n *Node) matches(index, term uint64) bool {
	return index >= n.snap.Index && index <= n.lastIndex() && n.termAt(index) == term
}

// slice returns a copy of the entries from first to last.
func (n *Node) slice(first, last uint64) []Entry {
	return append([]Entry(nil), n.log[first-n.snap.Index-1:last-n.snap.Index]...)
}

// appendLocal appends an entry of the own term at the leader.
func (n *Node) appendLocal(kind EntryKind, data []byte) uint64 {
	e := Entry{Term: n.term, Index: n.lastIndex() + 1, Kind: kind, Data: data}
	n.log = append(n.log, e)
	n.noteReplacement(e)
	return e.Index
}

// truncate removes the entries from index on.
func (n *Node) truncate(index uint64) {
	if index <= n.commit {
		panic(fmt.Sprintf("consensus: entry %d would be removed below the commit index %d", index, n.commit))
	}
	n.log = n.log[: index-n.snap.Index-1 : index-n.snap.Index-1]
	n.handed, n.stable = min(n.handed, index-1), min(n.stable, index-1)
	for i, r := range n.replacements {
		if r.index >= index {
			n.replacements = n.replacements[:i:i]
			break
		}
	}
	n.refreshTable()
}

// commitTo raises the commit index.
func (n *Node) commitTo(index uint64) {
	if index <= n.commit {
		return
	}
	if index > n.lastIndex() {
		panic(fmt.Sprintf("consensus: commit index %d above the last entry %d", index, n.lastIndex()))
	}
	n.commit = index
	n.refreshTable()
}

// setSnapshot installs s; log already holds exactly the entries after it.
func (n *Node) setSnapshot(s Snapshot) {
	n.snap = s
	n.snapPending = true
	n.commit = max(n.commit, s.Index)
	n.handed, n.stable = max(n.handed, s.Index), max(n.stable, s.Index)
	n.replacements = nil
	for _, e := range n.log {
		n.noteReplacement(e)
	}
	n.refreshTable()
}
