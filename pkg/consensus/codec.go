package consensus

import (
	"encoding/json"

	"github.com/rotisserie/eris"
)

// Encode returns the wire form of a message.
func Encode(m Message) ([]byte, error) {
	data, err := json.Marshal(m)
	return data, eris.Wrap(err, "encode consensus message")
}

// Decode reads the wire form of a message. It fails on messages that no member
// sends, so that Step gets only well-formed ones.
func Decode(data []byte) (Message, error) {
	var m Message
	if err := json.Unmarshal(data, &m); err != nil {
		return Message{}, eris.Wrap(err, "decode consensus message")
	}
	if err := m.check(); err != nil {
		return Message{}, err
	}
	return m, nil
}

// check refuses malformed messages.
func (m *Message) check() error {
	switch {
	case m.Kind == 0 || m.Kind > lastKind:
		return eris.Errorf("consensus message of unknown kind %d", m.Kind)
	case m.From == "" || m.To == "" || m.Disk == "":
		return eris.New("consensus message without sender, receiver or disk")
	case m.Kind == Install && (m.Snapshot == nil || m.Snapshot.Members == nil):
		return eris.New("install message without a snapshot or member table")
	}
	term := m.LogTerm
	for i, e := range m.Entries {
		if e.Index != m.Index+uint64(i)+1 || e.Term < term || e.Term > m.Term || e.Kind > ReplaceDisk {
			return eris.Errorf("consensus message with malformed entry %d", i)
		}
		term = e.Term
	}
	return nil
}
