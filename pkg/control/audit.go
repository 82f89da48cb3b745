package control

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"io/fs"
	"math"
	"os"
	"path/filepath"
	"sort"

	"github.com/rotisserie/eris"
)

// auditFile stores the audit entries evicted from the state, one JSON object per
// line. The file of an instance that caught up through a snapshot lacks the
// entries skipped by the snapshot; the other instances have them.
type auditFile struct {
	path    string
	lastSeq uint64
}

// openAuditFile opens the audit file in folder, reads its last sequence number
// and truncates an incomplete last line.
func openAuditFile(folder string) (*auditFile, error) {
	a := &auditFile{path: filepath.Join(folder, "audit.jsonl")}
	file, err := os.Open(a.path)
	if os.IsNotExist(err) {
		return a, nil
	}
	if err != nil {
		return nil, eris.Wrap(err, "open the audit file")
	}
	defer file.Close()
	reader := bufio.NewReader(file)
	var size int64
	for {
		line, err := reader.ReadBytes('\n')
		var entry AuditEntry
		if err != nil || json.Unmarshal(line, &entry) != nil {
			return a, eris.Wrap(os.Truncate(a.path, size), "truncate the incomplete last line of the audit file")
		}
		size += int64(len(line))
		a.lastSeq = entry.Seq
	}
}

// read returns up to limit entries with sequence numbers greater than after,
// oldest first. It locates the first one by binary search over byte offsets.
func (a *auditFile) read(after uint64, limit int) ([]AuditEntry, error) {
	file, err := os.Open(a.path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, eris.Wrap(err, "open the audit file")
	}
	defer file.Close()
	info, err := file.Stat()
	if err != nil {
		return nil, eris.Wrap(err, "read the audit file")
	}
	offset := sort.Search(int(info.Size()), func(offset int) bool {
		entry, ok := readEntry(readerAtLine(file, offset))
		return !ok || entry.Seq > after
	})
	reader := readerAtLine(file, offset)
	var entries []AuditEntry
	for len(entries) < limit {
		entry, ok := readEntry(reader)
		if !ok {
			break
		}
		entries = append(entries, entry)
	}
	return entries, nil
}

// readerAtLine returns a reader positioned at the first line that starts at or
// after offset.
func readerAtLine(file *os.File, offset int) *bufio.Reader {
	if offset == 0 {
		return bufio.NewReader(io.NewSectionReader(file, 0, math.MaxInt64))
	}
	reader := bufio.NewReader(io.NewSectionReader(file, int64(offset)-1, math.MaxInt64-int64(offset)))
	_, _ = reader.ReadBytes('\n') // At the end of the file, readEntry returns false.
	return reader
}

// readEntry reads the next entry. It returns false at the end of the file and
// at an incomplete line, which is still being written.
func readEntry(reader *bufio.Reader) (AuditEntry, bool) {
	var entry AuditEntry
	line, err := reader.ReadBytes('\n')
	ok := err == nil && json.Unmarshal(line, &entry) == nil
	return entry, ok
}

// append writes the entries that are not in the file yet and syncs the file.
func (a *auditFile) append(entries []AuditEntry) error {
	var buffer bytes.Buffer
	lastSeq := a.lastSeq
	for _, e := range entries {
		if e.Seq <= lastSeq {
			continue
		}
		line, err := json.Marshal(e)
		if err != nil {
			return eris.Wrap(err, "encode an audit entry")
		}
		buffer.Write(append(line, '\n'))
		lastSeq = e.Seq
	}
	if buffer.Len() == 0 {
		return nil
	}
	file, err := os.OpenFile(a.path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return eris.Wrap(err, "open the audit file")
	}
	defer file.Close()
	if _, err := file.Write(buffer.Bytes()); err != nil {
		return eris.Wrap(err, "write the audit file")
	}
	if err := file.Sync(); err != nil {
		return eris.Wrap(err, "sync the audit file")
	}
	if err := syncFolder(filepath.Dir(a.path)); err != nil {
		return err
	}
	a.lastSeq = lastSeq
	return nil
}

// syncFolder syncs a folder, which makes newly created and renamed files in it
// durable.
func syncFolder(folder string) error {
	f, err := os.Open(folder)
	if err != nil {
		return eris.Wrap(err, "open the folder")
	}
	defer f.Close()
	return eris.Wrap(f.Sync(), "sync the folder")
}
