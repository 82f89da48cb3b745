package consensus

import (
	"encoding/json"

	"github.com/rotisserie/eris"
)

// Encode serialises a message for the network.
func Encode(m Message) ([]byte, error) {
	data, err := json.Marshal(m)
	return data, eris.Wrap(err, "encode consensus message")
}

// Decode parses and validates a message from the network. It returns an error for
// malformed messages, so that Step receives only well-formed ones.
func Decode(data []byte) (Message, error) {
	var m Message
	if err := json.Unmarshal(data, &m); err != nil {
		return Message{}, eris.Wrap(err, "decode consensus message")
	}
	if err := m.validate(); err != nil {
		return Message{}, err
	}
	return m, nil
}

// validate returns an error if the message is malformed.
func (m *Message) validate() error {
	switch {
	case m.Kind == 0 || m.Kind > lastKind:
		return eris.Errorf("consensus message from %q of unknown kind %d", m.From, m.Kind)
	case m.From == "" || m.To == "" || m.Disk == "":
		return eris.Errorf("consensus message of kind %d without sender, receiver or disk: %q, %q, %q", m.Kind, m.From, m.To, m.Disk)
	case m.Kind == InstallSnapshot && (m.Snapshot == nil || m.Snapshot.Members == nil):
		return eris.Errorf("InstallSnapshot message from %q without a snapshot or member table", m.From)
	}
	term := m.LogTerm
	for i, e := range m.Entries {
		if e.Index != m.Index+uint64(i)+1 || e.Term < term || e.Term > m.Term || e.Kind > lastEntryKind {
			return eris.Errorf("consensus message from %q of kind %d: entry %d at index %d is malformed", m.From, m.Kind, i, e.Index)
		}
		term = e.Term
	}
	return nil
}
