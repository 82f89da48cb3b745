package broker

import (
	"context"
	"maps"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/geraniumpitch/geraniumpitch/pkg/wire"
)

// arrival is an announcement and when it arrived.
type arrival struct {
	announcement *wire.BackendAnnouncement
	at           time.Time
}

// ranked returns the names by which the holders of an announcement are ranked.
// A backend server without a pool is held under the empty name, so that the
// control leader learns of it and can order it to load a model.
func ranked(pools []string) []string {
	if len(pools) == 0 {
		return []string{""}
	}
	return pools
}

// hold keeps an announcement for Backends unless a newer one or a leave is known.
func (s *Service) hold(now time.Time, a *wire.BackendAnnouncement) {
	if left, ok := s.left[a.Id]; ok && a.Incarnation <= left.incarnation {
		return
	}
	if old, ok := s.announced[a.Id]; ok && newer(old.announcement, a) {
		return
	}
	s.announced[a.Id] = arrival{announcement: a, at: now}
}

func newer(a, b *wire.BackendAnnouncement) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Sequence > b.Sequence
}

func (s *Service) forgetAnnounced(now time.Time) {
	maps.DeleteFunc(s.announced, func(_ string, held arrival) bool { return now.Sub(held.at) > knownLife })
}

// Backends implements wire.DRPCBrokerServer.
func (e endpoint) Backends(context.Context, *wire.BackendsRequest) (*wire.BackendsResponse, error) {
	s := e.service
	self, now := s.view.Self(), time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	response := &wire.BackendsResponse{}
	for _, held := range s.announced {
		a := proto.CloneOf(held.announcement)
		if a.DataCentre == "" {
			a.DataCentre = self.DataCentre
		}
		response.Backends = append(response.Backends, &wire.KnownBackend{
			Announcement: a, AgeMs: uint32(now.Sub(held.at).Milliseconds()),
		})
	}
	return response, nil
}
