package configwatch

import (
	"context"
	"sync"

	"storj.io/drpc"

	"github.com/geraniumpitch/geraniumpitch/pkg/rpc"
	"github.com/geraniumpitch/geraniumpitch/pkg/wire"
)

// versionReport is the response of one instance to a version query.
type versionReport struct {
	address string
	version uint64
	// fromControl is true for control instances and false for entry instances.
	fromControl bool
	// confirmed means that the version was read linearizably through the leader.
	confirmed bool
	// ok is false if the query failed or the instance has no version to report.
	ok bool
}

// catchUp finds the newest version among the reachable instances and fetches it.
// It reports whether the local configuration is at least as new.
func (s *Service) catchUp(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, 2*s.queryTimeout)
	defer cancel()
	newest := s.queryNewest(ctx)
	if !newest.ok {
		return false
	}
	reached := func(version uint64) bool { return version >= newest.version }
	if reached(s.Current().Version) {
		return true
	}
	if newest.fromControl {
		_ = s.watch(ctx, newest.address, s.Current().Version, reached)
	} else {
		_ = s.fetch(ctx, newest.address, reached)
	}
	return reached(s.Current().Version)
}

// maxMembersQueried bounds the number of entry instances queried in addition to
// the seeds.
const maxMembersQueried = 64

// queryNewest queries all control instances, the seeds and the entry instances of
// the membership list for their versions. It returns the first version confirmed by the
// leader or, if there is none before the timeout, the newest version reported.
func (s *Service) queryNewest(ctx context.Context) versionReport {
	ctx, cancel := context.WithTimeout(ctx, s.queryTimeout)
	defer cancel()
	reports := make(chan versionReport, 2*len(s.settings.Control)+len(s.settings.Seeds)+maxMembersQueried)
	var queries sync.WaitGroup
	for _, c := range s.settings.Control {
		queries.Go(func() { reports <- s.queryControl(ctx, c.Address, true) })
		queries.Go(func() { reports <- s.queryControl(ctx, c.Address, false) })
	}
	for _, e := range s.settings.Seeds {
		queries.Go(func() { reports <- s.queryEntry(ctx, e.Address) })
	}
	// The membership list fills after the start, so its members are queried later.
	queries.Go(func() {
		if s.membership != nil && sleepContext(ctx, s.queryTimeout/2) {
			for _, address := range s.memberAddresses() {
				queries.Go(func() { reports <- s.queryEntry(ctx, address) })
			}
		}
	})
	go func() {
		queries.Wait()
		close(reports)
	}()
	var newest versionReport
	for report := range reports {
		if report.ok && report.confirmed {
			return report
		}
		if report.ok && (!newest.ok || report.version > newest.version) {
			newest = report
		}
	}
	return newest
}

// memberAddresses returns the addresses of up to maxMembersQueried other members,
// those of the local data centre first.
func (s *Service) memberAddresses() []string {
	self := s.membership.Self()
	var local, remote []string
	for _, m := range s.membership.Members() {
		switch {
		case m.ID == self.ID:
		case m.DataCentre == self.DataCentre:
			local = append(local, m.PeerAddress)
		default:
			remote = append(remote, m.PeerAddress)
		}
	}
	addresses := append(local, remote...)
	return addresses[:min(len(addresses), maxMembersQueried)]
}

func (s *Service) queryControl(ctx context.Context, address string, linearizable bool) versionReport {
	response, err := rpc.Call(ctx, s.dialer, address, s.queryTimeout,
		func(ctx context.Context, conn drpc.Conn) (*wire.ReadResponse, error) {
			return wire.NewDRPCControlClient(conn).Read(ctx, &wire.ReadRequest{Linearizable: linearizable})
		})
	if err != nil || !response.Confirmed {
		return versionReport{}
	}
	return versionReport{address: address, version: response.Version, fromControl: true, confirmed: linearizable, ok: true}
}

func (s *Service) queryEntry(ctx context.Context, address string) versionReport {
	response, err := rpc.Call(ctx, s.dialer, address, s.queryTimeout,
		func(ctx context.Context, conn drpc.Conn) (*wire.ReadResponse, error) {
			return wire.NewDRPCHeldClient(conn).Version(ctx, &wire.ReadRequest{})
		})
	if err != nil || !response.Confirmed {
		return versionReport{}
	}
	return versionReport{address: address, version: response.Version, ok: true}
}
