package control

import (
	"bufio"
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"

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
