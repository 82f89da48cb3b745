package coordinator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/geraniumpitch/geraniumpitch/pkg/control"
	"github.com/geraniumpitch/geraniumpitch/pkg/directory"
	"github.com/geraniumpitch/geraniumpitch/pkg/follow"
	"github.com/geraniumpitch/geraniumpitch/pkg/placement"
	"github.com/geraniumpitch/geraniumpitch/pkg/quarantine"
	"github.com/geraniumpitch/geraniumpitch/pkg/rollout"
	"github.com/geraniumpitch/geraniumpitch/pkg/rpc"
	"github.com/geraniumpitch/geraniumpitch/pkg/wire"
)

// recorder is a follow.Sink that records what a gateway receives.
type recorder struct {
	mu        sync.Mutex
	revision  uint64
	servers   map[string]directory.Server
	placement map[string]string
	reports   []quarantine.Report
	// unusable is a revision that cannot be put in force, which was tried attempts times.
	unusable uint64
	attempts int
	// onPublication, if set, is called with each publication.
	onPublication func(revision uint64, content []byte)
}

func (r *recorder) HandlePublication(revision uint64, content []byte) {
	if r.onPublication != nil {
		r.onPublication(revision, content)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if revision == r.unusable {
		r.attempts++
		return
	}
	r.revision = max(r.revision, revision)
}

func (r *recorder) HandleAnnouncements(servers []directory.Server) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range servers {
		r.servers[s.ID] = s
	}
}

func (r *recorder) HandlePlacement(p placement.Placement) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.placement[p.Subject] = p.Server + " " + p.Backup
}

func (r *recorder) HandlePromptReport(report quarantine.Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reports = append(r.reports, report)
}

func (r *recorder) HandleRollouts([]rollout.Record, time.Duration) {}

func (r *recorder) Revision() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.revision
}

// satisfies returns a function that checks a condition under the lock.
func (r *recorder) satisfies(condition func(*recorder) bool) func() bool {
	return func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return condition(r)
	}
}

// followAt starts the follow client of a gateway with one seed.
func (g *testGroup) followAt(seed string) (*recorder, *follow.Client) {
	return g.followWith(&recorder{}, seed)
}

// followWith starts a follow client that passes everything on to r.
func (g *testGroup) followWith(r *recorder, seed string) (*recorder, *follow.Client) {
	r.servers, r.placement = map[string]directory.Server{}, map[string]string{}
	dialer := rpc.NewDialer(nil, &rpc.Counters{})
	g.t.Cleanup(func() { _ = dialer.Close() })
	c := follow.NewClient("g", dialer, r, slog.New(slog.DiscardHandler))
	c.SetSeeds(g.t.Context(), []string{seed})
	go c.RunPlacements(g.t.Context())
	go c.RunPromptReports(g.t.Context())
	return r, c
}

// Guards against a gateway that misses a publication, an announcement made at any
// coordinator, an added coordinator, or a recent placement.
func TestFollow(t *testing.T) {
	g := newTestGroup(t, 3)
	g.publish(1, 1, "one")
	r, c := g.followAt(g.address(1))
	g.eventually("the publication", r.satisfies(func(r *recorder) bool { return r.revision == 1 }))
	g.eventually("streams of all coordinators", func() bool { recent, _ := c.CountCoordinators(time.Now(), time.Second); return recent == 3 })
	server := directory.Server{ID: "s", Service: "p", Address: "10.0.0.1:1", DataCentre: "d", StartedMS: 1, Sequence: 1, Slots: 6, WarmingMS: 3, Version: "v1"}
	for i := 1; i <= 3; i++ {
		server.Sequence++
		server.Address = fmt.Sprintf("10.0.0.1:%d", i)
		qt.Assert(t, g.coordinators[i].Announce(server), qt.Equals, directory.Changed)
		g.eventually("the announcement", r.satisfies(func(r *recorder) bool { return r.servers["s"] == server }))
	}
	server.State, server.Sequence = directory.Leaving, 9
	startedAt := time.Now()
	g.coordinators[2].Announce(server)
	g.eventually("the server leaves", r.satisfies(func(r *recorder) bool { return r.servers["s"].State == directory.Leaving }))
	qt.Assert(t, time.Since(startedAt) < time.Second, qt.IsTrue)
	g.start(4, false)
	g.eventually("the added coordinator", func() bool { recent, _ := c.CountCoordinators(time.Now(), time.Second); return recent == 4 })
	g.publish(3, 2, "two")
	g.eventually("the next publication", r.satisfies(func(r *recorder) bool { return r.revision == 2 }))
	c.AnnouncePlacement(placement.Placement{Subject: "part", Server: "engine", Backup: "backup"})
	g.eventually("the placement", r.satisfies(func(r *recorder) bool { return r.placement["part"] == "engine backup" }))
	// One coordinator forwards a placement to gateways; three coordinators store it.
	g.eventually("the placement at three coordinators", func() bool {
		count := 0
		for _, s := range g.coordinators {
			sub := s.hub.subscribe(false)
			_, placements := sub.drain()
			s.hub.unsubscribe(sub)
			if len(placements) > 0 {
				count++
			}
		}
		return count == 3
	})
	newGateway, _ := g.followAt(g.address(2))
	g.eventually("the placement at a late gateway", newGateway.satisfies(func(r *recorder) bool { return r.placement["part"] == "engine backup" }))
}

// Guards against a gateway that gets only some backend servers when all processes restart
// during a network partition: coordinators must exchange the announcements they receive.
func TestCoordinatorsExchangeAnnouncements(t *testing.T) {
	g := newTestGroup(t, 3)
	server := directory.Server{ID: "s", Service: "p", Address: "10.0.0.1:1", DataCentre: "d", StartedMS: 1, Sequence: 1}
	g.eventually("streams between coordinators", func() bool {
		for _, s := range g.coordinators {
			if recent, _ := s.peerClient.CountCoordinators(time.Now(), time.Second); recent != 2 {
				return false
			}
		}
		return true
	})
	g.coordinators[1].Announce(server)
	hasState := func(i int, state directory.State) func() bool {
		return func() bool {
			h := g.coordinators[i].hub
			h.mu.Lock()
			defer h.mu.Unlock()
			got, ok := h.servers.Lookup("s")
			return ok && got.State == state
		}
	}
	g.eventually("the server at the second", hasState(2, directory.Ready))
	g.eventually("the server at the third", hasState(3, directory.Ready))
	// Announcements received from another coordinator must not be sent back.
	sub := g.coordinators[2].hub.subscribe(true)
	defer g.coordinators[2].hub.unsubscribe(sub)
	sub.drain()
	server.State, server.Sequence = directory.Leaving, 2
	g.coordinators[1].Announce(server)
	g.eventually("the leaving server at the second", hasState(2, directory.Leaving))
	announcements, _ := sub.drain()
	qt.Assert(t, announcements, qt.HasLen, 0)
}

// Guards against a gateway that is not told under which parts of prompts engines end: all gateways
// get the reports of each, also those that connect later and after a restart of all processes.
func TestPromptReportsReachAllGateways(t *testing.T) {
	g := newTestGroup(t, 3)
	other, _ := g.followAt(g.address(1))
	_, c := g.followAt(g.address(3))
	g.eventually("streams of all coordinators", func() bool { recent, _ := c.CountCoordinators(time.Now(), time.Second); return recent == 3 })
	report := quarantine.Report{Parts: []string{"first", "bad"}, Engine: "e1", StartedMS: 4}
	c.ReportPrompt(report)
	has := func(r *recorder) bool {
		for _, got := range r.reports {
			if slices.Equal(got.Parts, report.Parts) && got.Engine == "e1" && got.StartedMS == 4 && got.Age < time.Minute {
				return true
			}
		}
		return false
	}
	g.eventually("the report", other.satisfies(has))
	late, _ := g.followAt(g.address(2))
	g.eventually("the report at a late gateway", late.satisfies(has))
	g.eventually("the report in a file", func() bool {
		for _, name := range softStateFiles {
			if data, err := os.ReadFile(filepath.Join(g.folders[2], name)); err == nil && strings.Contains(string(data), `"e1"`) {
				return true
			}
		}
		return false
	})
	for i := 1; i <= 3; i++ {
		g.stop(i)
	}
	g.start(2, false)
	restarted, _ := g.followAt(g.address(2))
	g.eventually("the report after a restart", restarted.satisfies(has))
}

// Guards against a gateway that connects to a coordinator which has just started, before it has read
// its files, and that never gets what is in them.
func TestRestoredStateReachesEarlierSubscribers(t *testing.T) {
	folder := t.TempDir()
	ctx, cancel := context.WithCancel(t.Context())
	before := newHub(time.Minute)
	before.announce(directory.Server{ID: "e1", Service: "p", Address: "10.0.0.1:1", StartedMS: 1, Sequence: 1})
	before.addPlacements([]*wire.Placement{{Subject: "s", Server: "e1"}}, false)
	before.addPromptReports([]*wire.PromptReport{{Parts: []string{"bad"}, Engine: "e1"}}, time.Now())
	done := make(chan struct{})
	go func() { before.persistState(ctx, folder, slog.New(slog.DiscardHandler)); close(done) }()
	for deadline := time.Now().Add(waitTimeout); ; time.Sleep(20 * time.Millisecond) {
		if files, err := os.ReadDir(folder); err == nil && len(files) > 0 {
			break
		}
		qt.Assert(t, time.Now().Before(deadline), qt.IsTrue)
	}
	cancel()
	<-done
	after := newHub(time.Minute)
	sub := after.subscribe(false)
	_, err := after.restore(folder, time.Now())
	qt.Assert(t, err, qt.IsNil)
	announcements, placements := sub.drain()
	qt.Assert(t, announcements, qt.HasLen, 1)
	qt.Assert(t, placements, qt.HasLen, 1)
	qt.Assert(t, sub.drainPromptReports(), qt.HasLen, 1)
	qt.Assert(t, sub.changed, qt.HasLen, 1)
}

// Guards against prompt reports that pile up at a coordinator or for a gateway that does not read,
// and against repeated ones that displace others.
func TestPromptReportsAreBounded(t *testing.T) {
	h := newHub(time.Minute)
	sub := h.subscribe(false)
	now := time.Now()
	h.addPromptReports([]*wire.PromptReport{{Parts: []string{"old"}, Engine: "old", AgeMs: uint32(reportTTL.Milliseconds())}}, now)
	for i := range 2 * maxReports {
		h.addPromptReports([]*wire.PromptReport{{Parts: []string{"sound"}}, {Parts: []string{"bad"}, Engine: fmt.Sprint(i / 2)}}, now.Add(time.Second))
	}
	qt.Assert(t, h.recentReports, qt.HasLen, maxReports)
	sound := 0
	for _, r := range h.recentReports {
		if r.Report.Engine == "" {
			sound++
		}
	}
	qt.Assert(t, sound, qt.Equals, 1)
	qt.Assert(t, sub.drainPromptReports(), qt.HasLen, maxReports)
	qt.Assert(t, sub.drainPromptReports(), qt.HasLen, 0)
}

// Guards against control traffic proportional to servers times gateways: renewals go to
// gateways only every few seconds, but to other coordinators each time.
func TestRenewalsAreThinned(t *testing.T) {
	h := newHub(time.Minute)
	gateway, peer := h.subscribe(false), h.subscribe(true)
	server := directory.Server{ID: "s", Service: "p", Address: "10.0.0.1:1", StartedMS: 1}
	drainCount := func(sub *subscriber) int {
		announcements, _ := sub.drain()
		return len(announcements)
	}
	for i, want := range []int{1, 0, 0} {
		server.Sequence++
		h.announce(server)
		qt.Assert(t, drainCount(gateway), qt.Equals, want, qt.Commentf("announcement %d", i))
		qt.Assert(t, drainCount(peer), qt.Equals, 1)
	}
	server.State, server.Sequence = directory.Leaving, 9
	h.announce(server)
	qt.Assert(t, drainCount(gateway), qt.Equals, 1)
	h.lastAnnouncedAt["s"] = time.Now().Add(-follow.MinRenewalInterval)
	server.Sequence++
	h.announce(server)
	qt.Assert(t, drainCount(gateway), qt.Equals, 1)
	// A new gateway receives all servers immediately.
	qt.Assert(t, drainCount(h.subscribe(false)), qt.Equals, 1)
}

// Guards against a gateway without a configuration after all processes restart: before
// there is a leader, it takes the newest publication of a majority of logs, and none from
// fewer logs.
func TestPublicationBeforeThereIsALeader(t *testing.T) {
	g := newTestGroup(t, 3)
	g.publish(1, 7, "seven")
	g.eventually("the publication in all logs", func() bool {
		for _, s := range g.coordinators {
			if s.group.currentNode().Publication().Revision != 7 {
				return false
			}
		}
		return true
	})
	for i := 1; i <= 3; i++ {
		g.stop(i)
	}
	// One member of three cannot elect a leader.
	g.start(1, false)
	g.eventually("the log of the first", func() bool {
		log := g.coordinators[1].group.unconfirmedLog()
		return log != nil && log.Publication.Revision == 7 && string(log.Publication.Content) == "seven" && len(log.Disks) == 3
	})
	r, c := g.followAt(g.address(1))
	g.eventually("the stream of the first", func() bool { recent, _ := c.CountCoordinators(time.Now(), time.Second); return recent == 1 })
	qt.Assert(t, r.Revision(), qt.Equals, uint64(0))
	g.start(2, false)
	g.eventually("the publication", r.satisfies(func(r *recorder) bool { return r.revision == 7 }))
}

// Guards against a gateway that obeys a publication which only the log of a failed leader has: the other
// members may elect a leader without it and accept another publication with its revision.
func TestGatewayTakesNoPublicationOfAFailedLeader(t *testing.T) {
	g := newTestGroup(t, 3)
	g.publish(1, 7, "seven")
	for revision := uint64(8); revision < 12; revision++ {
		leader := g.leader()
		for i := 1; i <= 3; i++ {
			if i != leader {
				g.stop(i)
			}
		}
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		outcome := g.coordinators[leader].Publish(ctx, control.Publication{Revision: revision, Content: []byte("lost")})
		cancel()
		qt.Assert(t, outcome, qt.Not(qt.Equals), control.Accepted)
		g.stop(leader)
		g.start(leader, false)
		former, other := g.coordinators[leader], leader%3+1
		var first sync.Once
		r := &recorder{onPublication: func(revision uint64, content []byte) {
			first.Do(func() {
				qt.Check(t, former.group.currentNode().Publication().Revision, qt.Equals, revision, qt.Commentf("%s is not committed", content))
			})
		}}
		_, c := g.followWith(r, g.address(leader))
		g.eventually("the stream of the former leader", func() bool { recent, _ := c.CountCoordinators(time.Now(), time.Second); return recent == 1 })
		g.start(other, false)
		g.eventually("a publication", func() bool { return r.Revision() >= revision-1 })
		g.start(other%3+1, false)
		g.eventually("the next publication", func() bool {
			_, err := g.coordinators[other].Read(t.Context())
			return err == nil
		})
	}
}

// Guards against a gateway that starts after too many disks were lost and takes the publication
// of the last log for the one in force, although a newer one was accepted; and against one in a
// partitioned data centre that gets no publication at all.
func TestGatewayTakesNoUnconfirmedPublication(t *testing.T) {
	g := newTestGroup(t, 3)
	g.publish(1, 7, "seven")
	g.eventually("the publication in all logs", func() bool {
		for _, s := range g.coordinators {
			if s.group.currentNode().Publication().Revision != 7 {
				return false
			}
		}
		return true
	})
	for i := 1; i <= 3; i++ {
		g.stop(i)
	}
	g.loseDisk(2)
	g.loseDisk(3)
	for i := 1; i <= 3; i++ {
		g.start(i, false)
	}
	r, c := g.followAt(g.address(1))
	g.eventually("all streams", func() bool { recent, _ := c.CountCoordinators(time.Now(), time.Second); return recent == 3 })
	time.Sleep(2 * time.Second)
	qt.Assert(t, r.Revision(), qt.Equals, uint64(0))
	g.stop(2)
	g.stop(3)
	partitioned, _ := g.followAt(g.address(1))
	g.eventually("the unconfirmed publication", partitioned.satisfies(func(r *recorder) bool { return r.revision == 7 }))
}

// Guards against an outdated publication: a member whose leader appended to its log and
// then stopped does not know what was accepted last, so it must not count towards a
// majority of logs.
func TestLogThatGrewIsNotOffered(t *testing.T) {
	g := newTestGroup(t, 3)
	g.publish(1, 7, "seven")
	for i := 1; i <= 3; i++ {
		g.stop(i)
	}
	for i := 1; i <= 3; i++ {
		g.start(i, false)
	}
	g.publish(1, 8, "eight")
	g.stop(2)
	g.stop(3)
	g.eventually("the loss of the leader", func() bool { return !g.coordinators[1].group.currentNode().HasLeader() })
	qt.Assert(t, g.coordinators[1].group.unconfirmedLog(), qt.IsNil)
}

// Guards against losing backend servers and recent placements when all processes stop or
// the power fails, and against a corrupt or outdated file that breaks the restart.
func TestSoftStateOutlivesTheProcess(t *testing.T) {
	const serverTTL = 5 * time.Second
	folder := t.TempDir()
	stopped := newHub(serverTTL)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { stopped.persistState(ctx, folder, slog.New(slog.DiscardHandler)); close(done) }()
	update := func(server, subject, file string) {
		stopped.announce(directory.Server{ID: server, Service: "p", Address: "10.0.0." + strconv.Itoa(len(server)) + ":1", StartedMS: 1, Sequence: 1, Version: "v1"})
		stopped.addPlacements([]*wire.Placement{{Subject: subject, Server: "engine", Backup: "backup"}}, true)
		for deadline := time.Now().Add(waitTimeout); ; time.Sleep(10 * time.Millisecond) {
			if data, err := os.ReadFile(filepath.Join(folder, file)); err == nil && strings.Contains(string(data), subject) && json.Valid(data) {
				return
			}
			qt.Assert(t, time.Now().Before(deadline), qt.IsTrue)
		}
	}
	first, second := softStateFiles[1], softStateFiles[0]
	update("s", "part", first)
	update("s2", "other", second)
	cancel()
	<-done
	check := func(now time.Time, wantServers, wantPlacements int) {
		t.Helper()
		restarted := newHub(serverTTL)
		_, _ = restarted.restore(folder, now)
		servers, placements := restarted.subscribe(false).drain()
		qt.Assert(t, servers, qt.HasLen, wantServers)
		for _, s := range servers {
			qt.Assert(t, s.Version, qt.Equals, "v1")
		}
		qt.Assert(t, placements, qt.HasLen, wantPlacements)
	}
	check(time.Now(), 2, 2)
	check(time.Now().Add(serverTTL+time.Second), 0, 2)
	check(time.Now().Add(time.Minute), 0, 0)
	check(time.Now().Add(-time.Minute), 0, 0)
	// The newer file is corrupt, so the older one is used.
	qt.Assert(t, os.WriteFile(filepath.Join(folder, second), []byte("{\"written\":9,\"servers\":["), 0o600), qt.IsNil)
	check(time.Now(), 1, 1)
	_, err := newHub(serverTTL).restore(folder, time.Now())
	qt.Assert(t, err, qt.ErrorMatches, "(?s).*soft-state-0.json.*")
	qt.Assert(t, os.WriteFile(filepath.Join(folder, first), nil, 0o600), qt.IsNil)
	check(time.Now(), 0, 0)
}

// Guards against losing what was stored because the disk was full for a time: each write truncates a file
// first, and both files were truncated in turn. What could not be written is written once there is room.
func TestSoftStateOutlivesAFullDisk(t *testing.T) {
	const serverTTL = time.Minute
	folder := t.TempDir()
	h := newHub(serverTTL)
	var full atomic.Bool
	var failures atomic.Int64
	h.writeFile = func(file string, data []byte) error {
		if !full.Load() {
			return writeFileSynced(file, data)
		}
		failures.Add(1)
		return errors.Join(writeFileSynced(file, data[:len(data)/2]), syscall.ENOSPC)
	}
	done := make(chan struct{})
	ctx, cancel := context.WithCancel(t.Context())
	go func() { defer close(done); h.persistState(ctx, folder, slog.New(slog.DiscardHandler)) }()
	defer func() { cancel(); <-done }()
	announce := func(id string) {
		h.announce(directory.Server{ID: id, Service: "p", Address: "10.0.0." + strconv.Itoa(len(id)) + ":1", StartedMS: 1, Sequence: 1})
	}
	await := func(condition func() bool) {
		t.Helper()
		for deadline := time.Now().Add(waitTimeout); !condition(); time.Sleep(10 * time.Millisecond) {
			qt.Assert(t, time.Now().Before(deadline), qt.IsTrue)
		}
	}
	stored := func() int {
		restarted := newHub(serverTTL)
		_, _ = restarted.restore(folder, time.Now())
		servers, _ := restarted.subscribe(false).drain()
		return len(servers)
	}
	announce("s")
	await(func() bool { return stored() == 1 })
	full.Store(true)
	for i := 2; i <= 4; i++ {
		announce(strings.Repeat("s", i))
		await(func() bool { return failures.Load() >= int64(i)-1 })
		qt.Assert(t, stored(), qt.Equals, 1)
	}
	full.Store(false)
	await(func() bool { return stored() == 4 })
}

// Guards against a stored file of which one odd entry makes all others useless.
func TestOddEntryInTheSoftState(t *testing.T) {
	folder, now := t.TempDir(), time.Now()
	server := func(id, address string) string {
		return fmt.Sprintf(`{"server":{"ID":%q,"Service":"p","Address":%q,"StartedMS":1,"Sequence":1},"heard":%q}`, id, address, now.Format(time.RFC3339Nano))
	}
	deep := strings.Repeat("[", 9000) + strings.Repeat("]", 9000)
	file := fmt.Sprintf(`{"written":3,"servers":[%s],"placements":[%s],"reports":[%s]}`,
		strings.Join([]string{
			server("a", "10.0.0.1:1"), `{"server":{"ID":7}}`, `{"server":{"ID":"n","Slots":1e99}}`, server("port", "10.0.0.1:99999"), deep, "null", server("b", "10.0.0.2:1"),
		}, ","),
		strings.Join([]string{
			`{"placement":{"subject":7}}`, `{"placement":{"subject":"s","server":"a"},"at":"yesterday"}`,
			fmt.Sprintf(`{"placement":{"subject":"s","server":"a"},"at":%q}`, now.Format(time.RFC3339Nano)),
		}, ","),
		`[1],{"report":{"engine":7}}`)
	qt.Assert(t, os.WriteFile(filepath.Join(folder, softStateFiles[1]), []byte(file), 0o600), qt.IsNil)
	h := newHub(time.Minute)
	sequence, err := h.restore(folder, now.Add(time.Second))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, sequence, qt.Equals, uint64(3))
	announcements, placements := h.subscribe(false).drain()
	ids := []string{}
	for _, a := range announcements {
		ids = append(ids, a.Id)
	}
	slices.Sort(ids)
	qt.Assert(t, ids, qt.DeepEquals, []string{"a", "b"})
	qt.Assert(t, placements, qt.HasLen, 1)
}

// Guards against entries of another coordinator that name no server to use, and against one that hides
// the others.
func TestInvalidAnnouncementsAreSkipped(t *testing.T) {
	g := newTestGroup(t, 1)
	r, _ := g.followAt(g.address(1))
	announce := func(id, address string) {
		g.coordinators[1].Announce(directory.Server{ID: id, Service: "p", Address: address, StartedMS: 1, Sequence: 1})
	}
	announce("odd", "10.0.0.1:99999")
	announce("sound", "10.0.0.1:1")
	g.eventually("the sound server", r.satisfies(func(r *recorder) bool { return r.servers["sound"].ID != "" }))
	g.eventually("no odd server", r.satisfies(func(r *recorder) bool { return r.servers["odd"].ID == "" }))
}

// Guards against uncertain prompt reports that flood the gateways when many engines end at once, against certain ones
// that are dropped with them, and against a second end of an engine that replaces the first one.
func TestUncertainReportsAreBounded(t *testing.T) {
	h, now := newHub(time.Minute), time.Now()
	sub := h.subscribe(false)
	dropped := 0
	for i := range 200 {
		dropped += h.addPromptReports([]*wire.PromptReport{{Parts: []string{"popular"}, Engine: fmt.Sprint("e", i), Uncertain: true}}, now)
	}
	qt.Assert(t, dropped, qt.Equals, 200-maxUncertainBurst)
	qt.Assert(t, h.addPromptReports([]*wire.PromptReport{{Parts: []string{"bad"}, Engine: "certain"}}, now), qt.Equals, 0)
	qt.Assert(t, sub.drainPromptReports(), qt.HasLen, maxUncertainBurst+1)
	for i := range 3 {
		report := &wire.PromptReport{Parts: []string{"bad"}, Engine: "again", Uncertain: true}
		qt.Assert(t, h.addPromptReports([]*wire.PromptReport{report, report}, now.Add(time.Duration(10+3*i)*time.Second)), qt.Equals, 0)
	}
	ends := 0
	late := h.subscribe(false)
	for _, r := range late.drainPromptReports() {
		if r.Engine == "again" && r.Uncertain {
			ends++
		}
	}
	qt.Assert(t, ends, qt.Equals, 3)
}

// Guards against reports that tell nothing any more and are sent to each gateway that connects, and against the loss of those that
// do: many engines end at once under prompts that prove sound later, and some under a harmful one.
func TestReportsWithoutEvidenceAreNotKept(t *testing.T) {
	h, now := newHub(time.Minute), time.Now()
	add := func(after time.Duration, r *wire.PromptReport) {
		h.addPromptReports([]*wire.PromptReport{r}, now.Add(after))
	}
	for i := range 100 {
		add(time.Duration(i)*100*time.Millisecond, &wire.PromptReport{Parts: []string{"popular", fmt.Sprint("subject", i)}, Engine: fmt.Sprint("e", i), Uncertain: true})
	}
	for i := range 4 {
		add(10*time.Second+time.Duration(i)*time.Second, &wire.PromptReport{Parts: []string{"popular", "bad"}, Engine: fmt.Sprint("f", i), Uncertain: true})
		add(10*time.Second+time.Duration(i)*time.Second, &wire.PromptReport{Parts: []string{"popular", "worse"}, Engine: fmt.Sprint("f", i)})
	}
	for i := range 100 {
		add(15*time.Second, &wire.PromptReport{Parts: []string{"popular", fmt.Sprint("subject", i)}})
	}
	counts := map[string]int{}
	for _, r := range h.subscribe(false).drainPromptReports() {
		switch {
		case r.Engine == "":
			counts["sound"]++
		case r.Uncertain && slices.Contains(r.Parts, "bad"):
			counts["bad"]++
		case slices.Contains(r.Parts, "worse"):
			counts["worse"]++
		default:
			counts["other"]++
		}
	}
	qt.Assert(t, counts["bad"], qt.Equals, 4)
	qt.Assert(t, counts["worse"], qt.Equals, 4)
	qt.Assert(t, counts["other"], qt.Equals, 0)
	// One of them proves the popular part sound, for which ends are kept.
	qt.Assert(t, counts["sound"], qt.Equals, maxBareSoundReports+1)
}
