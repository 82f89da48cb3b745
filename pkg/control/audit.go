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

// auditFile keeps the audit entries that left the state, one JSON object a line.
// An instance that was brought up to date by a snapshot has a gap in its file;
// the other instances hold these entries.
type auditFile struct {
	path    string
	lastSeq uint64
}

// openAuditFile reads the last sequence number of the file in folder and cuts
// off a torn last line.
func openAuditFile(folder string) (*auditFile, error) {
	a := &auditFile{path: filepath.Join(folder, "audit.jsonl")}
	raw, err := os.Open(a.path)
	if os.IsNotExist(err) {
		return a, nil
	}
	if err != nil {
		return nil, eris.Wrap(err, "open the audit file")
	}
	defer raw.Close()
	reader := bufio.NewReader(raw)
	var size int64
	for {
		line, err := reader.ReadBytes('\n')
		var entry AuditEntry
		if err != nil || json.Unmarshal(line, &entry) != nil {
			return a, eris.Wrap(os.Truncate(a.path, size), "cut the torn end of the audit file")
		}
		size += int64(len(line))
		a.lastSeq = entry.Seq
	}
}

// read returns up to limit entries with sequence numbers after the given one,
// oldest first. It finds the first of them by bisection.
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
		entry, ok := nextEntry(lineReader(file, offset))
		return !ok || entry.Seq > after
	})
	reader := lineReader(file, offset)
	var entries []AuditEntry
	for len(entries) < limit {
		entry, ok := nextEntry(reader)
		if !ok {
			break
		}
		entries = append(entries, entry)
	}
	return entries, nil
}

// lineReader reads from the first line that starts at offset or after it.
func lineReader(file *os.File, offset int) *bufio.Reader {
	if offset == 0 {
		return bufio.NewReader(io.NewSectionReader(file, 0, math.MaxInt64))
	}
	reader := bufio.NewReader(io.NewSectionReader(file, int64(offset)-1, math.MaxInt64-int64(offset)))
	_, _ = reader.ReadBytes('\n') // At the end of the file nextEntry finds nothing.
	return reader
}

// nextEntry returns false at the end of the file and at a line that is not
// whole, which is still being written.
func nextEntry(reader *bufio.Reader) (AuditEntry, bool) {
	var entry AuditEntry
	line, err := reader.ReadBytes('\n')
	ok := err == nil && json.Unmarshal(line, &entry) == nil
	return entry, ok
}

// append adds the entries that are not in the file yet and syncs it.
func (a *auditFile) append(entries []AuditEntry) error {
	var buffer bytes.Buffer
	last := a.lastSeq
	for _, e := range entries {
		if e.Seq <= last {
			continue
		}
		line, err := json.Marshal(e)
		if err != nil {
			return eris.Wrap(err, "encode an audit entry")
		}
		buffer.Write(append(line, '\n'))
		last = e.Seq
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
	a.lastSeq = last
	return nil
}

// syncFolder makes new and renamed files of a folder durable.
func syncFolder(folder string) error {
	f, err := os.Open(folder)
	if err != nil {
		return eris.Wrap(err, "open the folder")
	}
	defer f.Close()
	return eris.Wrap(f.Sync(), "sync the folder")
}
