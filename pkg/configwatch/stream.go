package configwatch

import (
	"encoding/json"

	"github.com/rotisserie/eris"

	"github.com/geraniumpitch/geraniumpitch/pkg/document"
	"github.com/geraniumpitch/geraniumpitch/pkg/wire"
)

const (
	// maxPieceBytes bounds the part of a snapshot in one event; drpc rejects
	// packets above 4 MiB.
	maxPieceBytes = 1 << 20
	// maxSnapshotBytes bounds a snapshot: six times the size of a document with
	// 35,000 organisations.
	maxSnapshotBytes = 64 << 20
)

// Sender is the sending side of a watch stream.
type Sender interface {
	Send(*wire.WatchEvent) error
}

// SendSnapshot sends an encoded document in pieces that fit into drpc packets.
func SendSnapshot(stream Sender, version uint64, data []byte) error {
	for len(data) > 0 {
		size := min(len(data), maxPieceBytes)
		event := &wire.WatchEvent{Version: version, Snapshot: data[:size], More: size < len(data)}
		if err := stream.Send(event); err != nil {
			return eris.Wrap(err, "send the snapshot")
		}
		data = data[size:]
	}
	return nil
}

// eventDecoder decodes the events of one watch stream to documents.
type eventDecoder struct {
	pieces []byte
}

// update is a newer document. ops is set if it was received as a change and nil if
// it was received as a snapshot.
type update struct {
	document *document.Document
	ops      json.RawMessage
}

// decode returns the newer document that results from an event, or nil if there is
// none yet. It fails if the event cannot be applied to the current document.
func (d *eventDecoder) decode(current *document.Document, e *wire.WatchEvent) (*update, error) {
	switch {
	case e.Heartbeat:
		if e.Version > current.Version {
			return nil, eris.Errorf("heartbeat for version %d without the changes after version %d", e.Version, current.Version)
		}
		return nil, nil
	case len(e.Snapshot) > 0:
		return d.decodeSnapshot(current, e)
	case e.Version <= current.Version:
		return nil, nil
	case e.Version != current.Version+1:
		return nil, eris.Errorf("received version %d after version %d", e.Version, current.Version)
	}
	var ops []document.Op
	if err := json.Unmarshal(e.Ops, &ops); err != nil {
		return nil, eris.Wrapf(err, "decode the change to version %d", e.Version)
	}
	next, err := current.Apply(ops)
	if err != nil {
		return nil, err
	}
	return &update{document: next, ops: e.Ops}, nil
}

func (d *eventDecoder) decodeSnapshot(current *document.Document, e *wire.WatchEvent) (*update, error) {
	if len(d.pieces)+len(e.Snapshot) > maxSnapshotBytes {
		return nil, eris.Errorf("the snapshot of version %d has more than %d bytes", e.Version, maxSnapshotBytes)
	}
	d.pieces = append(d.pieces, e.Snapshot...)
	if e.More {
		return nil, nil
	}
	next := document.Empty()
	err := json.Unmarshal(d.pieces, next)
	d.pieces = nil
	if err != nil {
		return nil, eris.Wrapf(err, "decode the snapshot of version %d", e.Version)
	}
	if next.Version <= current.Version {
		return nil, nil
	}
	return &update{document: next}, nil
}
