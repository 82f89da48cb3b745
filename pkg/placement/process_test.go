package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/geraniumpitch/geraniumpitch/pkg/directory"
)

// Guards against a server that is cut off from the coordinators, expires, and is announced again as if
// its process had not said that it is leaving, asks for a pause or names a limit.
func TestServerThatIsAnnouncedAgainKeepsWhatItsProcessSaid(t *testing.T) {
	announced := directory.Server{ID: "s0", DataCentre: "local", StartedMS: 1}
	process := Process{ID: "s0", StartedMS: 1}
	for _, tt := range []struct {
		name   string
		record func(p *Pool)
	}{
		{"leaving", func(p *Pool) { p.RecordLeaving(process) }},
		{"pause", func(p *Pool) { p.RecordPause(process, atMillis(5000)) }},
		{"limit", func(p *Pool) { p.RecordLimit(process, 0.1, atMillis(0), atMillis(0)) }},
	} {
		for _, end := range []struct {
			name string
			end  func(p *Pool)
		}{
			{"expired", func(p *Pool) { p.Remove("s0", atMillis(100)) }},
			{"gone", func(p *Pool) {
				gone := announced
				gone.State = directory.Gone
				p.Update(gone, atMillis(100))
			}},
			{"moved", func(p *Pool) {
				moved := announced
				moved.DataCentre = "remote"
				p.Update(moved, atMillis(100))
			}},
		} {
			t.Run(tt.name+" "+end.name, func(t *testing.T) {
				p := NewPool("local", rand.New(rand.NewPCG(1, 1)))
				p.SetDemand(ServiceDemand{Share: 1})
				p.Update(announced, start)
				tt.record(p)
				p.RecordSend("s0", atMillis(1))
				end.end(p)
				p.Update(announced, atMillis(200))
				qt.Assert(t, p.SelectForCall(atMillis(300), nil), qt.IsNil)

				next := announced
				next.StartedMS++
				p.Update(next, atMillis(400))
				qt.Assert(t, p.SelectForCall(atMillis(500), nil), qt.IsNotNil)
			})
		}
	}
}

// Guards against a late response of a process that has ended and that keeps the requests from the next
// process of the server.
func TestLateResponseOfAnEndedProcessDoesNotCountForTheNext(t *testing.T) {
	p := NewPool("local", rand.New(rand.NewPCG(1, 1)))
	p.SetDemand(ServiceDemand{Share: 1})
	p.Update(directory.Server{ID: "s0", DataCentre: "local", StartedMS: 2}, start)
	former := Process{ID: "s0", StartedMS: 1}
	qt.Assert(t, p.RecordLeaving(former), qt.IsFalse)
	p.RecordPause(former, atMillis(5000))
	qt.Assert(t, p.RecordLimit(former, 0.1, atMillis(0), atMillis(0)), qt.IsFalse)
	for i := range 5 {
		qt.Assert(t, p.SelectForCall(atMillis(100+i), nil), qt.IsNotNil)
		p.RecordSend("s0", atMillis(100+i))
	}
}

// Guards against states of ended processes that add up without end.
func TestStatesOfRemovedServersExpire(t *testing.T) {
	p := NewPool("local", rand.New(rand.NewPCG(1, 1)))
	for i := range int64(10) {
		now := start.Add(time.Duration(i) * removedTTL)
		p.Update(directory.Server{ID: string(rune('a' + i)), DataCentre: "local", StartedMS: i}, now)
		p.RecordLeaving(Process{ID: string(rune('a' + i)), StartedMS: i})
		p.Remove(string(rune('a'+i)), now)
	}
	qt.Assert(t, len(p.removed) <= 2, qt.IsTrue)
}
