// Package wal keeps the state of a consensus member on disk: a synced log of
// entries and hard states, and the last snapshot.
package wal

import (
	"crypto/rand"
	"encoding/json"
	"os"
	"path/filepath"
	"syscall"

	"github.com/geraniumpitch/geraniumpitch/pkg/consensus"
	"github.com/rotisserie/eris"
)

// Names of the files in the folder.
const (
	logName      = "log"
	snapshotName = "snapshot"
	lockName     = "lock"
	temporary    = ".tmp"
)

// head is the first record of the log file. The disk identity is part of it, so
// that a lost log is a lost disk.
type head struct {
	Disk consensus.DiskID `json:"disk"`
	// Index and Term name the entry before the first one of this file.
	Index uint64 `json:"index"`
	Term  uint64 `json:"term"`
}

// batch is what one Save appends to the log; it is written as a whole or not at all.
type batch struct {
	Entries []consensus.Entry    `json:"entries,omitempty"`
	Hard    *consensus.HardState `json:"hard,omitempty"`
}

// file is the part of os.File that is written; tests check the order of syncs.
type file interface {
	Write([]byte) (int, error)
	Sync() error
	Close() error
}

// Log is the log of one member. It is not safe for concurrent use.
type Log struct {
	folder string
	head   head
	stored consensus.Stored
	log    file
	lock   *os.File
	wrap   func(*os.File) file
	// err is the first failure; it is not known what reached the disk after it.
	err error
}

// Open opens or creates the log in a folder and returns what is stored there.
// The disk identity is a random value that is created with the log. A torn last
// record is cut off; any other damage is an error that names the file and the
// offset. Only one process can open a folder at a time.
func Open(folder string) (*Log, consensus.Stored, consensus.DiskID, error) {
	return open(folder, func(f *os.File) file { return f })
}

func open(folder string, wrap func(*os.File) file) (*Log, consensus.Stored, consensus.DiskID, error) {
	l := &Log{folder: folder, wrap: wrap}
	if err := l.open(); err != nil {
		_ = l.Close()
		return nil, consensus.Stored{}, "", err
	}
	stored := l.stored
	stored.Entries = append([]consensus.Entry(nil), stored.Entries...)
	return l, stored, l.head.Disk, nil
}

func (l *Log) open() error {
	if err := makeFolder(l.folder); err != nil {
		return err
	}
	if err := l.acquire(); err != nil {
		return err
	}
	if err := l.readSnapshot(); err != nil {
		return err
	}
	data, err := os.ReadFile(l.path(logName))
	if os.IsNotExist(err) {
		return l.create()
	}
	if err != nil {
		return eris.Wrap(err, "read the consensus log")
	}
	return l.replay(data)
}

// acquire keeps other processes out; the lock ends with the process.
func (l *Log) acquire() error {
	var err error
	if l.lock, err = os.OpenFile(l.path(lockName), os.O_CREATE|os.O_RDWR, 0o600); err != nil {
		return eris.Wrap(err, "open the lock of the consensus log")
	}
	err = syscall.Flock(int(l.lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
	return eris.Wrapf(err, "%s is in use by another process", l.folder)
}

func (l *Log) readSnapshot() error {
	path := l.path(snapshotName)
	data, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		return nil
	}
	if err != nil {
		return eris.Wrap(err, "read the snapshot")
	}
	payload, ok := readRecord(data)
	if !ok || len(payload)+headerSize != len(data) {
		return eris.Wrapf(errCorrupt, "%s at offset 0", path)
	}
	return eris.Wrapf(json.Unmarshal(payload, &l.stored.Snapshot), "%s at offset 0", path)
}

// create starts a log with a new disk identity.
func (l *Log) create() error {
	if l.stored.Snapshot.Members != nil {
		return eris.Errorf("%s exists but %s does not: the folder was damaged; remove it to rejoin with a new disk",
			l.path(snapshotName), l.path(logName))
	}
	l.head = head{Disk: consensus.DiskID(rand.Text())}
	return l.rewrite()
}

// replay rebuilds the state from the records of the log.
func (l *Log) replay(data []byte) error {
	path := l.path(logName)
	payloads, size, err := readRecords(data)
	if err != nil || len(payloads) == 0 {
		return eris.Wrapf(errCorrupt, "%s at offset %d", path, size)
	}
	if err := json.Unmarshal(payloads[0], &l.head); err != nil || l.head.Disk == "" {
		return eris.Wrapf(errCorrupt, "%s at offset 0 names no disk", path)
	}
	offset := headerSize + len(payloads[0])
	for _, payload := range payloads[1:] {
		var b batch
		if err := json.Unmarshal(payload, &b); err != nil {
			return eris.Wrapf(err, "%s at offset %d", path, offset)
		}
		if !l.fits(b) {
			return eris.Wrapf(errCorrupt, "%s at offset %d: entries do not follow", path, offset)
		}
		l.add(b)
		offset += headerSize + len(payload)
	}
	if err := l.follow(); err != nil {
		return err
	}
	return l.reopen(size, size < len(data))
}

// fits tells whether the entries of a batch follow what was read before.
func (l *Log) fits(b batch) bool {
	next := l.head.Index + 1
	for i, e := range b.Entries {
		if i == 0 && (e.Index < next || e.Index > next+uint64(len(l.stored.Entries))) {
			return false
		}
		if i > 0 && e.Index != b.Entries[i-1].Index+1 {
			return false
		}
	}
	return true
}

// add applies a batch to the entries that follow l.head.
func (l *Log) add(b batch) {
	if len(b.Entries) > 0 {
		l.stored.Entries = append(l.stored.Entries[:b.Entries[0].Index-l.head.Index-1], b.Entries...)
	}
	if b.Hard != nil {
		l.stored.Hard = *b.Hard
	}
}

// follow drops the entries that the snapshot covers. A crash can leave a
// snapshot that is newer than the log; the entries after it are kept only if
// the log holds its last entry.
func (l *Log) follow() error {
	s := &l.stored
	if s.Snapshot.Index < l.head.Index {
		return eris.Errorf("%s follows entry %d, but %s ends at %d",
			l.path(logName), l.head.Index, l.path(snapshotName), s.Snapshot.Index)
	}
	covered := s.Snapshot.Index - l.head.Index
	switch {
	case covered == 0:
	case covered <= uint64(len(s.Entries)) && s.Entries[covered-1].Term == s.Snapshot.Term:
		s.Entries = append([]consensus.Entry(nil), s.Entries[covered:]...)
	default:
		s.Entries = nil
	}
	if covered > 0 {
		l.head.Index, l.head.Term = s.Snapshot.Index, s.Snapshot.Term
		return l.rewrite()
	}
	return nil
}

// reopen continues the log file after size bytes, unless it was rewritten.
func (l *Log) reopen(size int, torn bool) error {
	if l.log != nil {
		return nil
	}
	f, err := os.OpenFile(l.path(logName), os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return eris.Wrap(err, "open the consensus log")
	}
	l.log = l.wrap(f)
	if !torn {
		return nil
	}
	if err := f.Truncate(int64(size)); err != nil {
		return eris.Wrap(err, "cut off the torn record")
	}
	return eris.Wrap(l.log.Sync(), "sync the consensus log")
}

// Save writes the snapshot, the entries and the hard state of a Ready. When it
// returns without error, all of them are durable. After a crash during Save the
// entries and the hard state are both there or both not; the snapshot may be
// there without them. After an error the log refuses further use, because it is
// not known what reached the disk.
func (l *Log) Save(r consensus.Ready) error {
	if l.err == nil {
		l.err = l.save(r)
	}
	return l.err
}

func (l *Log) save(r consensus.Ready) error {
	b := batch{Entries: r.Entries, Hard: r.Hard}
	if r.Snapshot != nil {
		return l.saveSnapshot(*r.Snapshot, b)
	}
	if len(b.Entries) == 0 && b.Hard == nil {
		return nil
	}
	if !l.fits(b) {
		panic(eris.Errorf("wal: entry %d does not follow the log", b.Entries[0].Index))
	}
	payload, err := json.Marshal(b)
	if err != nil {
		return eris.Wrap(err, "encode the entries")
	}
	if _, err := l.log.Write(appendRecord(nil, payload)); err != nil {
		return eris.Wrap(err, "write the consensus log")
	}
	if err := l.log.Sync(); err != nil {
		return eris.Wrap(err, "sync the consensus log")
	}
	l.add(b)
	return nil
}

// saveSnapshot replaces the snapshot and starts a new log file after it.
func (l *Log) saveSnapshot(s consensus.Snapshot, b batch) error {
	payload, err := json.Marshal(s)
	if err != nil {
		return eris.Wrap(err, "encode the snapshot")
	}
	f, err := l.replace(snapshotName, appendRecord(nil, payload))
	if err != nil {
		return err
	}
	if err := f.Close(); err != nil {
		return eris.Wrap(err, "close the snapshot")
	}
	l.stored.Snapshot = consensus.Snapshot{Index: s.Index, Term: s.Term, Members: s.Members}
	if err := l.follow(); err != nil {
		return err
	}
	return l.save(consensus.Ready{Entries: b.Entries, Hard: b.Hard})
}

// rewrite writes the entries after the snapshot and the hard state to a new
// log file.
func (l *Log) rewrite() error {
	first, err := json.Marshal(l.head)
	if err != nil {
		return eris.Wrap(err, "encode the log head")
	}
	second, err := json.Marshal(batch{Entries: l.stored.Entries, Hard: &l.stored.Hard})
	if err != nil {
		return eris.Wrap(err, "encode the entries")
	}
	f, err := l.replace(logName, appendRecord(appendRecord(nil, first), second))
	if err != nil {
		return err
	}
	old := l.log
	l.log = f
	if old == nil {
		return nil
	}
	return eris.Wrap(old.Close(), "close the old log")
}

// replace writes a file under a temporary name, syncs it, gives it its name and
// syncs the folder, so that a crash leaves either the old or the new content.
func (l *Log) replace(name string, data []byte) (file, error) {
	path := l.path(name)
	raw, err := os.OpenFile(path+temporary, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, eris.Wrapf(err, "create %s", path)
	}
	f := l.wrap(raw)
	if _, err = f.Write(data); err == nil {
		err = f.Sync()
	}
	if err == nil {
		err = os.Rename(path+temporary, path)
	}
	if err == nil {
		err = syncFolder(l.folder)
	}
	if err != nil {
		_ = f.Close()
		return nil, eris.Wrapf(err, "write %s", path)
	}
	return f, nil
}

// Close releases the files. Everything saved is durable already.
func (l *Log) Close() error {
	var err error
	if l.log != nil {
		err = l.log.Close()
	}
	if l.lock != nil {
		_ = l.lock.Close()
	}
	if l.err == nil {
		l.err = eris.New("the consensus log is closed")
	}
	return eris.Wrap(err, "close the consensus log")
}

func (l *Log) path(name string) string { return filepath.Join(l.folder, name) }

// makeFolder creates a folder durably; an existing one is left alone.
func makeFolder(folder string) error {
	if _, err := os.Stat(folder); err == nil {
		return nil
	}
	if err := os.MkdirAll(folder, 0o750); err != nil {
		return eris.Wrap(err, "create the folder of the consensus log")
	}
	return syncFolder(filepath.Dir(filepath.Clean(folder)))
}

// syncFolder makes renames in a folder durable.
func syncFolder(folder string) error {
	f, err := os.Open(folder)
	if err != nil {
		return eris.Wrap(err, "open the folder of the consensus log")
	}
	defer func() { _ = f.Close() }()
	return eris.Wrapf(f.Sync(), "sync %s", folder)
}
