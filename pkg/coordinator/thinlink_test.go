package coordinator

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/geraniumpitch/geraniumpitch/pkg/control"
	"github.com/geraniumpitch/geraniumpitch/pkg/rpc"
	"github.com/geraniumpitch/geraniumpitch/pkg/wire"
)

// thinLink is the link of a gateway, which the streams of all coordinators share.
type thinLink struct {
	bytesPerSecond int

	mu    sync.Mutex
	total int
}

// transfer blocks until n bytes have passed the link. Concurrent transfers take turns.
func (l *thinLink) transfer(n int) {
	const chunkBytes = 8 << 10
	for n > 0 {
		chunk := min(n, chunkBytes)
		n -= chunk
		l.mu.Lock()
		l.total += chunk
		time.Sleep(time.Duration(chunk) * time.Second / time.Duration(l.bytesPerSecond))
		l.mu.Unlock()
	}
}

func (l *thinLink) bytes() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.total
}

// linkedServer is a coordinator behind a thin link.
type linkedServer struct {
	rpcServer
	link *thinLink
}

// Follow implements wire.DRPCCoordinatorServer.
func (s *linkedServer) Follow(request *wire.FollowRequest, stream wire.DRPCCoordinator_FollowStream) error {
	return s.rpcServer.Follow(request, &linkedStream{stream, s.link})
}

// FetchPublication implements wire.DRPCCoordinatorServer.
func (s *linkedServer) FetchPublication(ctx context.Context, request *wire.FetchPublicationRequest) (*wire.Publication, error) {
	p, err := s.rpcServer.FetchPublication(ctx, request)
	s.link.transfer(proto.Size(p))
	return p, err
}

// linkedStream sends events over a thin link. It lists no coordinators: the gateway would reach them
// directly.
type linkedStream struct {
	wire.DRPCCoordinator_FollowStream
	link *thinLink
}

func (s *linkedStream) Send(event *wire.FollowEvent) error {
	event.Coordinators = nil
	s.link.transfer(proto.Size(event))
	return s.DRPCCoordinator_FollowStream.Send(event)
}

// followOverLink starts a gateway that reaches all coordinators over one link.
func (g *testGroup) followOverLink(link *thinLink) *recorder {
	g.t.Helper()
	var r *recorder
	for i := 1; i <= len(g.coordinators); i++ {
		server := rpc.NewServer(nil, &rpc.Counters{}, slog.New(slog.DiscardHandler))
		qt.Assert(g.t, wire.DRPCRegisterCoordinator(server.Mux(), &linkedServer{rpcServer{g.coordinators[i]}, link}), qt.IsNil)
		address := fmt.Sprintf("127.0.4.%d:%d", i, g.port)
		qt.Assert(g.t, server.Listen(g.t.Context(), address), qt.IsNil)
		if r == nil {
			recorder, client := g.followAt(address)
			g.linked, r = client, recorder
			continue
		}
		g.linked.Add(g.t.Context(), []string{address})
	}
	return r
}

// largePublication returns a publication of 1,650 routes.
func largePublication(revision uint64) control.Publication {
	random := rand.New(rand.NewPCG(1, revision))
	var b strings.Builder
	for range 1650 {
		fmt.Fprintf(&b, `{"name":"r-%07x","host":"%06x.example","path":"/%06x/","kind":"stream","timeout_ms":25000,"objective_ms":10000,"rank":2,"target":"%07x","tries":5,"public":false,"resumable":true},`,
			random.IntN(1<<28), random.IntN(1<<24), random.IntN(1<<24), random.IntN(1<<28))
	}
	return control.Publication{Revision: revision, Content: []byte(b.String())}
}

// Guards against publications that come into force too late because their copies fill the link of a
// gateway: large ones in quick succession, on a link of 10 Mbit/s, with six coordinators.
func TestLargePublicationsReachAGatewayOnAThinLink(t *testing.T) {
	const applyBound = 2500 * time.Millisecond
	g := newGrowingTestGroup(t, 6, 3, 2)
	g.publish(1, 1, "small")
	r := g.followOverLink(&thinLink{bytesPerSecond: 10_000_000 / 8})
	g.eventually("the first publication", r.satisfies(func(r *recorder) bool { return r.revision == 1 }))
	var wait sync.WaitGroup
	for revision := uint64(2); revision <= 6; revision++ {
		p := largePublication(revision)
		g.eventually("the publication is accepted", func() bool {
			return g.coordinators[1].Publish(context.Background(), p) == control.Accepted
		})
		wait.Go(func() {
			time.Sleep(applyBound)
			if inForce := r.Revision(); inForce < revision {
				t.Errorf("revision %d is in force %s after revision %d was accepted", inForce, applyBound, revision)
			}
		})
		time.Sleep(500 * time.Millisecond)
	}
	wait.Wait()
}

// Guards against traffic of callers that stands behind copies of a publication on the link of a
// gateway: no more than one copy of a large one crosses it.
func TestLargePublicationCrossesTheLinkOnce(t *testing.T) {
	g := newGrowingTestGroup(t, 6, 3, 2)
	g.publish(1, 1, "small")
	link := &thinLink{bytesPerSecond: 10_000_000 / 8}
	r := g.followOverLink(link)
	g.eventually("the first publication", r.satisfies(func(r *recorder) bool { return r.revision == 1 }))
	before := link.bytes()
	p := largePublication(2)
	g.eventually("the publication is accepted", func() bool {
		return g.coordinators[1].Publish(context.Background(), p) == control.Accepted
	})
	g.eventually("the publication", r.satisfies(func(r *recorder) bool { return r.revision == 2 }))
	time.Sleep(time.Second)
	used := link.bytes() - before
	qt.Assert(t, used < len(p.Content), qt.IsTrue, qt.Commentf("%d bytes for a publication of %d", used, len(p.Content)))
}

// Guards against a gateway that fills its link as it fetches a publication again and again that it
// cannot put in force.
func TestUnusablePublicationIsFetchedOnce(t *testing.T) {
	g := newTestGroup(t, 3)
	g.publish(1, 1, "small")
	r := g.followOverLink(&thinLink{bytesPerSecond: 10_000_000 / 8})
	g.eventually("the first publication", r.satisfies(func(r *recorder) bool { return r.revision == 1 }))
	r.satisfies(func(r *recorder) bool { r.unusable = 2; return true })()
	for revision := uint64(2); revision <= 3; revision++ {
		p := largePublication(revision)
		g.eventually("the publication is accepted", func() bool {
			return g.coordinators[1].Publish(context.Background(), p) == control.Accepted
		})
		if revision == r.unusable {
			g.eventually("an attempt", r.satisfies(func(r *recorder) bool { return r.attempts > 0 }))
			time.Sleep(time.Second)
			qt.Assert(t, r.satisfies(func(r *recorder) bool { return r.attempts == 1 })(), qt.IsTrue, qt.Commentf("%d attempts", r.attempts))
		}
	}
	g.eventually("the next publication", r.satisfies(func(r *recorder) bool { return r.revision == 3 }))
}
