package configwatch

import (
	"encoding/json"

	"github.com/rotisserie/eris"

	"github.com/geraniumpitch/geraniumpitch/pkg/document"
	"github.com/geraniumpitch/geraniumpitch/pkg/wire"
)

const (
	// pieceBytes is the largest part of a snapshot in one event; drpc refuses
	// packets above 4 MiB.
	pieceBytes = 1 << 20
	// maxSnapshotBytes bounds a snapshot: six times the size of a document with
	// 35,000 organisations.
	maxSnapshotBytes = 64 << 20
)

// Sender is the sending half of a watch stream.
type Sender interface {
	Send(*wire.WatchEvent) error
}

// SendSnapshot sends an encoded document in pieces that drpc can carry.
func SendSnapshot(out Sender, version uint64, data []byte) error {
	for len(data) > 0 {
		size := min(len(data), pieceBytes)
		event := &wire.WatchEvent{Version: version, Snapshot: data[:size], More: size < len(data)}
		if err := out.Send(event); err != nil {
			return eris.Wrap(err, "send the snapshot")
		}
		data = data[size:]
	}
	return nil
}

// reader turns the events of one watch stream into documents.
type reader struct {
	pieces []byte
}

// update is a newer document; ops are set when it came as a difference.
type update struct {
	document *document.Document
	ops      json.RawMessage
}

// take returns the newer document that an event leads to, or nil. It fails when
// the event does not follow the current document.
func (r *reader) take(current *document.Document, e *wire.WatchEvent) (*update, error) {
	switch {
	case e.Heartbeat:
		if e.Version > current.Version {
			return nil, eris.Errorf("version %d is in force, but the watch is at version %d", e.Version, current.Version)
		}
		return nil, nil
	case len(e.Snapshot) > 0:
		return r.takeSnapshot(current, e)
	case e.Version <= current.Version:
		return nil, nil
	case e.Version != current.Version+1:
		return nil, eris.Errorf("version %d follows version %d", e.Version, current.Version)
	}
	var ops []document.Op
	if err := json.Unmarshal(e.Ops, &ops); err != nil {
		return nil, eris.Wrap(err, "decode a change")
	}
	next, err := current.Apply(ops)
	if err != nil {
		return nil, err
	}
	return &update{document: next, ops: e.Ops}, nil
}

func (r *reader) takeSnapshot(current *document.Document, e *wire.WatchEvent) (*update, error) {
	if len(r.pieces)+len(e.Snapshot) > maxSnapshotBytes {
		return nil, eris.Errorf("the snapshot has more than %d bytes", maxSnapshotBytes)
	}
	r.pieces = append(r.pieces, e.Snapshot...)
	if e.More {
		return nil, nil
	}
	next := document.Empty()
	err := json.Unmarshal(r.pieces, next)
	r.pieces = nil
	if err != nil {
		return nil, eris.Wrap(err, "decode a snapshot")
	}
	if next.Version <= current.Version {
		return nil, nil
	}
	return &update{document: next}, nil
}
