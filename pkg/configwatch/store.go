package configwatch

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"

	"github.com/geraniumpitch/geraniumpitch/pkg/document"
)

const (
	documentFile = "config.json"
	journalFile  = "config.journal"
	// maxJournalChanges is the number of changes appended to the journal before
	// the whole document is written again. With 35,000 organisations, writing the
	// whole document would cost 14 MB of disk writes per change.
	maxJournalChanges = 500
)

// documentStore stores the document in force in the data folder, as a whole
// document and a journal of later changes with one JSON object per line.
type documentStore struct {
	folder         string
	journal        *os.File
	journalChanges int
}

// journalLine is one change in the journal.
type journalLine struct {
	Version uint64          `json:"version"`
	Ops     json.RawMessage `json:"ops"`
}

// openStore opens the store in a folder and returns the stored document, or nil if
// there is none. An incomplete last line of the journal is dropped: save had not succeeded for it. A
// damaged line before that is an error: what follows it may have been obeyed.
func openStore(folder string) (*documentStore, *document.Document, error) {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, nil, eris.Wrap(err, "create the data folder")
	}
	s := &documentStore{folder: folder}
	d, err := s.readDocument()
	if err != nil {
		return nil, nil, err
	}
	d, changes, err := s.readJournal(d)
	if err != nil {
		return nil, nil, err
	}
	if changes == 0 {
		return s, d, s.removeJournal()
	}
	return s, d, s.writeDocument(d)
}

func (s *documentStore) readDocument() (*document.Document, error) {
	raw, err := os.ReadFile(filepath.Join(s.folder, documentFile))
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

// readJournal applies the journal to d and returns the result with the number of
// complete journal lines.
func (s *documentStore) readJournal(d *document.Document) (*document.Document, int, error) {
	file, err := os.Open(filepath.Join(s.folder, journalFile))
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
		if errors.Is(err, io.EOF) {
			return d, lines, nil
		}
		if err != nil {
			return nil, 0, eris.Wrap(err, "read the configuration journal")
		}
		var line journalLine
		var ops []document.Op
		if err := errors.Join(json.Unmarshal(raw, &line), json.Unmarshal(line.Ops, &ops)); err != nil {
			if _, peekErr := reader.Peek(1); errors.Is(peekErr, io.EOF) {
				return d, lines, nil
			}
			return nil, 0, eris.Wrapf(err, "decode line %d of the configuration journal, which has more lines", lines+1)
		}
		if line.Version <= d.Version {
			continue // The whole document already includes this change.
		}
		next, err := d.Apply(ops)
		if err != nil || next.Version != line.Version {
			return nil, 0, eris.Errorf("line %d of the configuration journal does not follow version %d", lines+1, d.Version)
		}
		d = next
	}
}

// save stores an update durably.
func (s *documentStore) save(u *update) error {
	if u.ops == nil || s.journalChanges >= maxJournalChanges {
		return s.writeDocument(u.document)
	}
	if err := s.appendJournal(u); err != nil {
		// Lines after an incomplete line could not be read, so the journal is
		// replaced by a whole document.
		return s.writeDocument(u.document)
	}
	s.journalChanges++
	return nil
}

func (s *documentStore) appendJournal(u *update) error {
	var line bytes.Buffer
	if err := json.NewEncoder(&line).Encode(journalLine{Version: u.document.Version, Ops: u.ops}); err != nil {
		return eris.Wrap(err, "encode a journal line")
	}
	if s.journal == nil {
		file, err := os.OpenFile(filepath.Join(s.folder, journalFile), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return eris.Wrap(err, "open the configuration journal")
		}
		s.journal = file
		if err := s.syncFolder(); err != nil {
			return err
		}
	}
	if _, err := s.journal.Write(line.Bytes()); err != nil {
		return eris.Wrap(err, "write the configuration journal")
	}
	return eris.Wrap(s.journal.Sync(), "sync the configuration journal")
}

// writeDocument replaces the whole document and removes the journal, whose changes
// the document includes.
func (s *documentStore) writeDocument(d *document.Document) error {
	raw, err := json.Marshal(d)
	if err != nil {
		return eris.Wrap(err, "encode the configuration")
	}
	temporaryPath := filepath.Join(s.folder, documentFile+".tmp")
	if err := writeFileSynced(temporaryPath, raw); err != nil {
		return err
	}
	if err := os.Rename(temporaryPath, filepath.Join(s.folder, documentFile)); err != nil {
		return eris.Wrap(err, "replace the stored configuration")
	}
	if err := s.syncFolder(); err != nil {
		return err
	}
	return s.removeJournal()
}

func (s *documentStore) removeJournal() error {
	s.close()
	s.journalChanges = 0
	err := os.Remove(filepath.Join(s.folder, journalFile))
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return eris.Wrap(err, "remove the configuration journal")
	}
	return nil
}

// discard removes the stored document and journal, so that after a restart the
// configuration is obtained from other instances instead of an outdated store.
func (s *documentStore) discard() error {
	err := os.Remove(filepath.Join(s.folder, documentFile))
	if errors.Is(err, fs.ErrNotExist) {
		err = nil
	}
	return errors.Join(err, s.removeJournal(), s.syncFolder())
}

func (s *documentStore) close() {
	if s.journal != nil {
		_ = s.journal.Close()
		s.journal = nil
	}
}

// syncFolder syncs the data folder, which makes created, renamed and removed files
// durable.
func (s *documentStore) syncFolder() error {
	d, err := os.Open(s.folder)
	if err != nil {
		return eris.Wrap(err, "open the data folder")
	}
	defer d.Close()
	return eris.Wrap(d.Sync(), "sync the data folder")
}

func writeFileSynced(path string, raw []byte) error {
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
