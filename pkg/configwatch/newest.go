package configwatch

import (
	"context"
	"sync"

	"storj.io/drpc"

	"github.com/geraniumpitch/geraniumpitch/pkg/rpc"
	"github.com/geraniumpitch/geraniumpitch/pkg/wire"
)

// held is the answer of one instance about its version.
type held struct {
	address string
	version uint64
	// control is false for entry instances.
	control bool
	// final means that a leader confirmed the version.
	final bool
	ok    bool
}

// catchUp finds the newest version that can be reached and takes it. It reports
// whether the configuration here is as new as that.
func (s *Service) catchUp(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, 2*s.ask)
	defer cancel()
	best := s.newest(ctx)
	if !best.ok {
		return false
	}
	reached := func(version uint64) bool { return version >= best.version }
	if reached(s.Current().Version) {
		return true
	}
	if best.control {
		_ = s.watch(ctx, best.address, s.Current().Version, reached)
	} else {
		_ = s.fetch(ctx, best.address, reached)
	}
	return reached(s.Current().Version)
}

// maxMembersAsked bounds the entry instances that are asked beside the seeds.
const maxMembersAsked = 64

// newest asks all control instances and the known entry instances for their
// versions. It returns as soon as a leader confirmed one, else the newest answer.
func (s *Service) newest(ctx context.Context) held {
	ctx, cancel := context.WithTimeout(ctx, s.ask)
	defer cancel()
	answers := make(chan held, 2*len(s.settings.Control)+len(s.settings.Seeds)+maxMembersAsked)
	var asked sync.WaitGroup
	for _, c := range s.settings.Control {
		asked.Go(func() { answers <- s.askControl(ctx, c.Address, true) })
		asked.Go(func() { answers <- s.askControl(ctx, c.Address, false) })
	}
	for _, e := range s.settings.Seeds {
		asked.Go(func() { answers <- s.askEntry(ctx, e.Address) })
	}
	// The member table fills after the start, so members are asked later.
	asked.Go(func() {
		if s.view != nil && pause(ctx, s.ask/2) {
			for _, address := range s.memberAddresses() {
				asked.Go(func() { answers <- s.askEntry(ctx, address) })
			}
		}
	})
	go func() {
		asked.Wait()
		close(answers)
	}()
	var best held
	for a := range answers {
		if a.ok && a.final {
			return a
		}
		if a.ok && (!best.ok || a.version > best.version) {
			best = a
		}
	}
	return best
}

// memberAddresses returns the other known members, own data centre first.
func (s *Service) memberAddresses() []string {
	self := s.view.Self()
	var own, other []string
	for _, m := range s.view.Members() {
		switch {
		case m.ID == self.ID:
		case m.DataCentre == self.DataCentre:
			own = append(own, m.PeerAddress)
		default:
			other = append(other, m.PeerAddress)
		}
	}
	all := append(own, other...)
	return all[:min(len(all), maxMembersAsked)]
}

func (s *Service) askControl(ctx context.Context, address string, linearizable bool) held {
	response, err := rpc.Call(ctx, s.dialer, address, s.ask,
		func(ctx context.Context, conn drpc.Conn) (*wire.ReadResponse, error) {
			return wire.NewDRPCControlClient(conn).Read(ctx, &wire.ReadRequest{Linearizable: linearizable})
		})
	if err != nil || !response.Confirmed {
		return held{}
	}
	return held{address: address, version: response.Version, control: true, final: linearizable, ok: true}
}

func (s *Service) askEntry(ctx context.Context, address string) held {
	response, err := rpc.Call(ctx, s.dialer, address, s.ask,
		func(ctx context.Context, conn drpc.Conn) (*wire.ReadResponse, error) {
			return wire.NewDRPCHeldClient(conn).Version(ctx, &wire.ReadRequest{})
		})
	if err != nil || !response.Confirmed {
		return held{}
	}
	return held{address: address, version: response.Version, ok: true}
}
