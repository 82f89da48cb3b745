package follow

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/geraniumpitch/geraniumpitch/pkg/directory"
	"github.com/geraniumpitch/geraniumpitch/pkg/wire"
)

var (
	stateToWire   = map[directory.State]wire.ServerState{directory.Ready: wire.ServerState_SERVER_READY, directory.Leaving: wire.ServerState_SERVER_LEAVING, directory.Gone: wire.ServerState_SERVER_GONE}
	stateFromWire = map[wire.ServerState]directory.State{wire.ServerState_SERVER_READY: directory.Ready, wire.ServerState_SERVER_LEAVING: directory.Leaving, wire.ServerState_SERVER_GONE: directory.Gone}
)

// EncodeAnnouncement converts an announcement to its wire format.
func EncodeAnnouncement(s directory.Server) *wire.Announcement {
	return &wire.Announcement{
		Id: s.ID, Service: s.Service, Address: s.Address, DataCentre: s.DataCentre, StartedMs: s.StartedMS,
		Sequence: s.Sequence, State: stateToWire[s.State], Slots: uint32(s.Slots), WarmingMs: uint32(s.WarmingMS), Version: s.Version,
	}
}

// DecodeAnnouncement converts an announcement from its wire format. It returns an error if this version
// does not know the state of the server, or if the announcement is not valid at now.
func DecodeAnnouncement(a *wire.Announcement, now time.Time) (directory.Server, error) {
	state, ok := stateFromWire[a.State]
	if !ok {
		return directory.Server{}, eris.Errorf("unknown state %d", a.State)
	}
	s := directory.Server{
		ID: a.Id, Service: a.Service, Address: a.Address, DataCentre: a.DataCentre, StartedMS: a.StartedMs,
		Sequence: a.Sequence, State: state, Slots: int(a.Slots), WarmingMS: int(a.WarmingMs), Version: a.Version,
	}
	return s, s.Validate(now)
}
