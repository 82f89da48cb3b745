package configwatch

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"

	"github.com/geraniumpitch/geraniumpitch/pkg/document"
)

const (
	documentFile = "config.json"
	journalFile  = "config.journal"
	// journalChanges bounds the changes in the journal before the whole
	// document is written again. Writing 35,000 organisations for each change
	// would take 14 MB of disk writes a change.
	journalChanges = 500
)

// folder keeps the last document in the data folder: a whole document and a
// journal of the changes after it, one JSON object a line.
type folder struct {
	path    string
	journal *os.File
	changes int
}

// journalLine is one change after the whole document.
type journalLine struct {
	Version uint64          `json:"version"`
	Ops     json.RawMessage `json:"ops"`
}

// openFolder reads the last document; it is nil when none is stored. A torn end
// of the journal was never reported as saved and is dropped.
func openFolder(path string) (*folder, *document.Document, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, nil, eris.Wrap(err, "create the data folder")
	}
	f := &folder{path: path}
	d, err := f.readDocument()
	if err != nil {
		return nil, nil, err
	}
	d, changes, err := f.readJournal(d)
	if err != nil {
		return nil, nil, err
	}
	if changes == 0 {
		return f, d, f.removeJournal()
	}
	return f, d, f.writeDocument(d)
}

func (f *folder) readDocument() (*document.Document, error) {
	raw, err := os.ReadFile(filepath.Join(f.path, documentFile))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, eris.Wrap(err, "read the stored configuration")
	}
	d := document.Empty()
	if err := json.Unmarshal(raw, d); err != nil {
		return nil, eris.Wrap(err, "decode the stored configuration")
	}
	return d, nil
}

// readJournal applies the journal to d and returns the number of its lines.
func (f *folder) readJournal(d *document.Document) (*document.Document, int, error) {
	file, err := os.Open(filepath.Join(f.path, journalFile))
	if errors.Is(err, fs.ErrNotExist) {
		return d, 0, nil
	}
	if err != nil {
		return nil, 0, eris.Wrap(err, "read the configuration journal")
	}
	defer file.Close()
	if d == nil {
		d = document.Empty()
	}
	reader := bufio.NewReader(file)
	for lines := 0; ; lines++ {
		raw, err := reader.ReadBytes('\n')
		var line journalLine
		var ops []document.Op
		if err != nil || json.Unmarshal(raw, &line) != nil || json.Unmarshal(line.Ops, &ops) != nil {
			return d, lines, nil
		}
		if line.Version <= d.Version {
			continue // Written before the whole document.
		}
		next, err := d.Apply(ops)
		if err != nil || next.Version != line.Version {
			return nil, 0, eris.Errorf("line %d of the configuration journal does not follow version %d", lines+1, d.Version)
		}
		d = next
	}
}

// save makes an update durable before it returns.
func (f *folder) save(u *update) error {
	if u.ops == nil || f.changes >= journalChanges {
		return f.writeDocument(u.document)
	}
	if err := f.appendJournal(u); err != nil {
		// A torn line would hide the lines after it, so the journal is replaced.
		return f.writeDocument(u.document)
	}
	f.changes++
	return nil
}

func (f *folder) appendJournal(u *update) error {
	var line bytes.Buffer
	if err := json.NewEncoder(&line).Encode(journalLine{Version: u.document.Version, Ops: u.ops}); err != nil {
		return eris.Wrap(err, "encode a journal line")
	}
	if f.journal == nil {
		file, err := os.OpenFile(filepath.Join(f.path, journalFile), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return eris.Wrap(err, "open the configuration journal")
		}
		f.journal = file
		if err := f.sync(); err != nil {
			return err
		}
	}
	if _, err := f.journal.Write(line.Bytes()); err != nil {
		return eris.Wrap(err, "write the configuration journal")
	}
	return eris.Wrap(f.journal.Sync(), "sync the configuration journal")
}

// writeDocument replaces the whole document and removes the journal, whose
// lines are older.
func (f *folder) writeDocument(d *document.Document) error {
	raw, err := json.Marshal(d)
	if err != nil {
		return eris.Wrap(err, "encode the configuration")
	}
	temporary := filepath.Join(f.path, documentFile+".tmp")
	if err := writeSynced(temporary, raw); err != nil {
		return err
	}
	if err := os.Rename(temporary, filepath.Join(f.path, documentFile)); err != nil {
		return eris.Wrap(err, "put the stored configuration in place")
	}
	if err := f.sync(); err != nil {
		return err
	}
	return f.removeJournal()
}

func (f *folder) removeJournal() error {
	f.close()
	f.changes = 0
	err := os.Remove(filepath.Join(f.path, journalFile))
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return eris.Wrap(err, "remove the configuration journal")
	}
	return nil
}

// discard removes what is stored, so that a restart asks the other instances
// and does not take an older version from the folder.
func (f *folder) discard() error {
	err := os.Remove(filepath.Join(f.path, documentFile))
	if errors.Is(err, fs.ErrNotExist) {
		err = nil
	}
	return errors.Join(err, f.removeJournal(), f.sync())
}

func (f *folder) close() {
	if f.journal != nil {
		_ = f.journal.Close()
		f.journal = nil
	}
}

// sync makes new, renamed and removed files of the folder durable.
func (f *folder) sync() error {
	d, err := os.Open(f.path)
	if err != nil {
		return eris.Wrap(err, "open the data folder")
	}
	defer d.Close()
	return eris.Wrap(d.Sync(), "sync the data folder")
}

func writeSynced(path string, raw []byte) error {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return eris.Wrap(err, "create a temporary file")
	}
	_, err = file.Write(raw)
	if err == nil {
		err = file.Sync()
	}
	return eris.Wrap(errors.Join(err, file.Close()), "write the configuration")
}
