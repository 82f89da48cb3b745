// Package wal stores the state of a consensus member on disk: a write-ahead log of entries
// and hard states, and the last snapshot.
package wal

import (
	"crypto/rand"
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"syscall"

	"github.com/geraniumpitch/geraniumpitch/pkg/consensus"
	"github.com/rotisserie/eris"
)

// Names of the files in the folder, and the suffix of files that are being written.
const (
	logName         = "log"
	snapshotName    = "snapshot"
	lockName        = "lock"
	temporarySuffix = ".tmp"
)

// logHeader is the first record of the log file. It contains the disk identity, so that a
// member that loses its log also loses its identity.
type logHeader struct {
	Disk consensus.DiskID `json:"disk"`
	// Index and Term identify the entry before the first entry of this file.
	Index uint64 `json:"index"`
	Term  uint64 `json:"term"`
}

// batch is the record that one Save appends to the log; it is written atomically.
type batch struct {
	Entries []consensus.Entry    `json:"entries,omitempty"`
	Hard    *consensus.HardState `json:"hard,omitempty"`
}

// File is the part of os.File that is used for writing.
type File interface {
	Write([]byte) (int, error)
	Sync() error
	Close() error
}

// Log is the write-ahead log and snapshot of one member. It is not safe for concurrent use.
type Log struct {
	folder string
	header logHeader
	stored consensus.StoredState
	log    File
	// lock is the locked file that keeps other processes from opening the folder.
	lock *os.File
	// wrapFile is called on every file that is opened for writing.
	wrapFile func(*os.File) File
	// saveErr is the first error of Save, after which the state of the disk is unknown, or
	// an error that the log is closed.
	saveErr error
}

// Open opens or creates the log in a folder and returns the stored state and the disk
// identity, a random value that is created with the log. Open truncates a partly written
// last record; for any other damage it returns an error with the file and the offset. Only
// one process can open a folder at a time.
func Open(folder string) (*Log, consensus.StoredState, consensus.DiskID, error) {
	return OpenWith(folder, func(f *os.File) File { return f })
}

// OpenWith is Open for tests of disks: all files are written through what wrap returns.
func OpenWith(folder string, wrap func(*os.File) File) (*Log, consensus.StoredState, consensus.DiskID, error) {
	l := &Log{folder: folder, wrapFile: wrap}
	if err := l.open(); err != nil {
		_ = l.Close()
		return nil, consensus.StoredState{}, "", err
	}
	stored := l.stored
	stored.Entries = append([]consensus.Entry(nil), stored.Entries...)
	return l, stored, l.header.Disk, nil
}

func (l *Log) open() error {
	if err := createFolder(l.folder); err != nil {
		return err
	}
	if err := l.acquireLock(); err != nil {
		return err
	}
	if err := l.removeTemporaryFiles(); err != nil {
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

// acquireLock locks the folder against other processes. The operating system releases the
// lock when the process ends.
func (l *Log) acquireLock() error {
	var err error
	if l.lock, err = os.OpenFile(l.path(lockName), os.O_CREATE|os.O_RDWR, 0o600); err != nil {
		return eris.Wrap(err, "open the lock of the consensus log")
	}
	err = syscall.Flock(int(l.lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
	return eris.Wrapf(err, "%s is in use by another process", l.folder)
}

// readSnapshot loads the snapshot if there is one.
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
	if !ok || len(payload)+recordHeaderSize != len(data) {
		return eris.Wrapf(errCorrupt, "%s at offset 0", path)
	}
	return eris.Wrapf(json.Unmarshal(payload, &l.stored.Snapshot), "%s at offset 0", path)
}

// create creates a log with a new disk identity. It returns an error if the folder has the
// snapshot of a group member but no log: the votes in the log are lost, so the member must
// rejoin with a new disk.
func (l *Log) create() error {
	if l.stored.Snapshot.Members != nil {
		return eris.Errorf("%s exists but %s does not: the folder was damaged; remove it to rejoin with a new disk",
			l.path(snapshotName), l.path(logName))
	}
	l.header = logHeader{Disk: consensus.DiskID(rand.Text())}
	return l.rewriteLog()
}

// replay reconstructs the stored state from the records of the log.
func (l *Log) replay(data []byte) error {
	path := l.path(logName)
	payloads, size, err := readRecords(data)
	if err != nil || len(payloads) == 0 {
		return eris.Wrapf(errCorrupt, "%s at offset %d", path, size)
	}
	if err := json.Unmarshal(payloads[0], &l.header); err != nil || l.header.Disk == "" {
		return eris.Wrapf(errCorrupt, "%s at offset 0: no disk identity", path)
	}
	offset := recordHeaderSize + len(payloads[0])
	for _, payload := range payloads[1:] {
		var b batch
		if err := json.Unmarshal(payload, &b); err != nil {
			return eris.Wrapf(err, "%s at offset %d", path, offset)
		}
		if !l.isContiguous(b) {
			return eris.Wrapf(errCorrupt, "%s at offset %d: entries are not contiguous", path, offset)
		}
		l.applyBatch(b)
		offset += recordHeaderSize + len(payload)
	}
	if err := l.trimToSnapshot(); err != nil {
		return err
	}
	return l.openForAppend(size, size < len(data))
}

// isContiguous reports whether the entries of a batch are contiguous and start within or
// directly after the stored entries.
func (l *Log) isContiguous(b batch) bool {
	next := l.header.Index + 1
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

// applyBatch applies a batch to the stored state, whose entries start after l.header.
func (l *Log) applyBatch(b batch) {
	if len(b.Entries) > 0 {
		l.stored.Entries = append(l.stored.Entries[:b.Entries[0].Index-l.header.Index-1], b.Entries...)
	}
	if b.Hard != nil {
		l.stored.HardState = *b.Hard
	}
}

// trimToSnapshot removes the entries that the snapshot covers and rewrites the log file if
// there are any. A crash can leave a snapshot that is newer than the log; the entries after
// it are kept only if the log contains the last entry of the snapshot.
func (l *Log) trimToSnapshot() error {
	s := &l.stored
	if s.Snapshot.Index < l.header.Index {
		return eris.Errorf("%s starts after entry %d, but %s ends at entry %d",
			l.path(logName), l.header.Index, l.path(snapshotName), s.Snapshot.Index)
	}
	covered := s.Snapshot.Index - l.header.Index
	switch {
	case covered == 0:
	case covered <= uint64(len(s.Entries)) && s.Entries[covered-1].Term == s.Snapshot.Term:
		s.Entries = append([]consensus.Entry(nil), s.Entries[covered:]...)
	default:
		s.Entries = nil
	}
	if covered > 0 {
		l.header.Index, l.header.Term = s.Snapshot.Index, s.Snapshot.Term
		return l.rewriteLog()
	}
	return nil
}

// openForAppend opens the log file for appending, unless it was rewritten and is open. If
// its last record is partly written, it truncates the file to size bytes.
func (l *Log) openForAppend(size int, partlyWritten bool) error {
	if l.log != nil {
		return nil
	}
	f, err := os.OpenFile(l.path(logName), os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return eris.Wrap(err, "open the consensus log")
	}
	l.log = l.wrapFile(f)
	if !partlyWritten {
		return nil
	}
	if err := f.Truncate(int64(size)); err != nil {
		return eris.Wrap(err, "truncate the partly written record")
	}
	return eris.Wrap(l.log.Sync(), "sync the consensus log")
}

// Save writes the snapshot, the entries and the hard state of a Ready. When it returns
// without an error, all of them are durable. A crash during Save leaves either both the
// entries and the hard state or neither; the snapshot may be stored without them. After an
// error, all further calls return the same error, because the state of the disk is unknown.
func (l *Log) Save(r consensus.Ready) error {
	if l.saveErr == nil {
		l.saveErr = l.save(r)
	}
	return l.saveErr
}

func (l *Log) save(r consensus.Ready) error {
	b := batch{Entries: r.Entries, Hard: r.HardState}
	if r.Snapshot != nil {
		return l.saveSnapshot(*r.Snapshot, b)
	}
	if len(b.Entries) == 0 && b.Hard == nil {
		return nil
	}
	if !l.isContiguous(b) {
		panic(eris.Errorf("wal: entry %d is not contiguous with the log", b.Entries[0].Index))
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
	l.applyBatch(b)
	return nil
}

// saveSnapshot replaces the snapshot, rewrites the log file to start after it and then saves
// the batch.
func (l *Log) saveSnapshot(s consensus.Snapshot, b batch) error {
	payload, err := json.Marshal(s)
	if err != nil {
		return eris.Wrap(err, "encode the snapshot")
	}
	f, err := l.replaceFile(snapshotName, appendRecord(nil, payload))
	if err != nil {
		return err
	}
	if err := f.Close(); err != nil {
		return eris.Wrap(err, "close the snapshot")
	}
	l.stored.Snapshot = consensus.Snapshot{Index: s.Index, Term: s.Term, Members: s.Members}
	if err := l.trimToSnapshot(); err != nil {
		return err
	}
	return l.save(consensus.Ready{Entries: b.Entries, HardState: b.Hard})
}

// rewriteLog replaces the log file with one that holds the stored entries and hard state.
func (l *Log) rewriteLog() error {
	headerPayload, err := json.Marshal(l.header)
	if err != nil {
		return eris.Wrap(err, "encode the log header")
	}
	batchPayload, err := json.Marshal(batch{Entries: l.stored.Entries, Hard: &l.stored.HardState})
	if err != nil {
		return eris.Wrap(err, "encode the entries")
	}
	f, err := l.replaceFile(logName, appendRecord(appendRecord(nil, headerPayload), batchPayload))
	if err != nil {
		return err
	}
	previous := l.log
	l.log = f
	if previous == nil {
		return nil
	}
	return eris.Wrap(previous.Close(), "close the old log")
}

// replaceFile writes and syncs a temporary file, renames it to name and syncs the folder,
// so that a crash leaves either the old or the new content. It returns the open file.
func (l *Log) replaceFile(name string, data []byte) (File, error) {
	path := l.path(name)
	raw, err := os.OpenFile(path+temporarySuffix, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, eris.Wrapf(err, "create %s", path)
	}
	f := l.wrapFile(raw)
	if _, err = f.Write(data); err == nil {
		err = f.Sync()
	}
	if err == nil {
		err = os.Rename(path+temporarySuffix, path)
	}
	if err == nil {
		err = syncFolder(l.folder)
	}
	if err != nil {
		_ = f.Close()
		// On a full disk, the part that was written keeps room from everything else.
		return nil, errors.Join(eris.Wrapf(err, "write %s", path), l.removeTemporaryFiles())
	}
	return f, nil
}

// removeTemporaryFiles removes files that were not completed.
func (l *Log) removeTemporaryFiles() error {
	var errs []error
	for _, name := range []string{logName, snapshotName} {
		if err := os.Remove(l.path(name) + temporarySuffix); err != nil && !os.IsNotExist(err) {
			errs = append(errs, eris.Wrap(err, "remove an incomplete file"))
		}
	}
	return errors.Join(errs...)
}

// Close closes the files and releases the lock. All saved data is durable already.
func (l *Log) Close() error {
	var err error
	if l.log != nil {
		err = l.log.Close()
	}
	if l.lock != nil {
		_ = l.lock.Close()
	}
	if l.saveErr == nil {
		l.saveErr = eris.New("the consensus log is closed")
	}
	return eris.Wrap(err, "close the consensus log")
}

func (l *Log) path(name string) string { return filepath.Join(l.folder, name) }

// createFolder creates a folder durably unless it exists.
func createFolder(folder string) error {
	if _, err := os.Stat(folder); err == nil {
		return nil
	}
	if err := os.MkdirAll(folder, 0o750); err != nil {
		return eris.Wrap(err, "create the folder of the consensus log")
	}
	return syncFolder(filepath.Dir(filepath.Clean(folder)))
}

// syncFolder makes new and renamed entries of a folder durable.
func syncFolder(folder string) error {
	f, err := os.Open(folder)
	if err != nil {
		return eris.Wrap(err, "open the folder of the consensus log")
	}
	defer func() { _ = f.Close() }()
	return eris.Wrapf(f.Sync(), "sync %s", folder)
}
