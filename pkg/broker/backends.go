package broker

import (
	"context"
	"maps"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/geraniumpitch/geraniumpitch/pkg/wire"
)

// receivedAnnouncement is an announcement with the time of its arrival.
type receivedAnnouncement struct {
	announcement *wire.BackendAnnouncement
	receivedAt   time.Time
}

// rankingKeys returns the keys that select the instances to which an announcement is
// forwarded. The key of a backend server without a pool is empty: its announcements are
// stored as well, so that the control leader learns of the server and can order it to
// load a model.
func rankingKeys(pools []string) []string {
	if len(pools) == 0 {
		return []string{""}
	}
	return pools
}

// storeAnnouncement stores an announcement for Backends, unless a newer one or a leave of
// the server is stored.
func (s *Service) storeAnnouncement(now time.Time, a *wire.BackendAnnouncement) {
	if leave, ok := s.leaves[a.Id]; ok && a.Incarnation <= leave.incarnation {
		return
	}
	if stored, ok := s.announcements[a.Id]; ok && isNewer(stored.announcement, a) {
		return
	}
	s.announcements[a.Id] = receivedAnnouncement{announcement: a, receivedAt: now}
}

// isNewer reports whether announcement a of a backend server was sent after b.
func isNewer(a, b *wire.BackendAnnouncement) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Sequence > b.Sequence
}

func (s *Service) expireAnnouncements(now time.Time) {
	maps.DeleteFunc(s.announcements, func(_ string, stored receivedAnnouncement) bool { return now.Sub(stored.receivedAt) > serverCacheTTL })
}

// Backends implements wire.DRPCBrokerServer.
func (e endpoint) Backends(context.Context, *wire.BackendsRequest) (*wire.BackendsResponse, error) {
	s := e.service
	self, now := s.view.Self(), time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	response := &wire.BackendsResponse{}
	for _, stored := range s.announcements {
		a := proto.CloneOf(stored.announcement)
		if a.DataCentre == "" {
			a.DataCentre = self.DataCentre
		}
		response.Backends = append(response.Backends, &wire.KnownBackend{
			Announcement: a, AgeMs: uint32(now.Sub(stored.receivedAt).Milliseconds()),
		})
	}
	return response, nil
}
