// Package follow is the gateway's side of the streams from coordinators: the
// publication in force, announcements of backend servers and the addresses of
// coordinators.
package follow

import (
	"github.com/geraniumpitch/geraniumpitch/pkg/directory"
	"github.com/geraniumpitch/geraniumpitch/pkg/wire"
)

var (
	toWire   = map[directory.State]wire.ServerState{directory.Ready: wire.ServerState_SERVER_READY, directory.Leaving: wire.ServerState_SERVER_LEAVING, directory.Gone: wire.ServerState_SERVER_GONE}
	fromWire = map[wire.ServerState]directory.State{wire.ServerState_SERVER_READY: directory.Ready, wire.ServerState_SERVER_LEAVING: directory.Leaving, wire.ServerState_SERVER_GONE: directory.Gone}
)

// Encode returns the wire form of an announcement.
func Encode(s directory.Server) *wire.Announcement {
	return &wire.Announcement{
		Id: s.ID, Service: s.Service, Address: s.Address, DataCentre: s.DataCentre, StartedMs: s.StartedMS,
		Sequence: s.Sequence, State: toWire[s.State], Slots: uint32(s.Slots), WarmingMs: uint32(s.WarmingMS),
	}
}

// Decode returns the announcement in its wire form. It is false for a state that
// this version does not know.
func Decode(a *wire.Announcement) (directory.Server, bool) {
	state, ok := fromWire[a.State]
	return directory.Server{
		ID: a.Id, Service: a.Service, Address: a.Address, DataCentre: a.DataCentre, StartedMS: a.StartedMs,
		Sequence: a.Sequence, State: state, Slots: int(a.Slots), WarmingMS: int(a.WarmingMs),
	}, ok
}
