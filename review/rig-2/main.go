// Command rig-2 plays one case of the second review: it starts the project's own programs as separate processes on
// loopback addresses, with stand-ins of the platform, its replicas, its operator and its requesters, and judges what these see.
//
// Usage: rig-2 CASE RECORD. It writes what was sent, answered and run to the file RECORD, and exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"sort"
	"strings"
	"sync"
	"time"
)

// Exit statuses.
const (
	held      = 0
	broken    = 1
	couldNot  = 2
	timeLimit = 115 * time.Second
)

var cases = map[string]func(*rig) (int, string){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		names := []string{}
		for name := range cases {
			names = append(names, name)
		}
		sort.Strings(names)
		fmt.Fprintln(os.Stderr, "usage: rig-2 CASE RECORD; cases:", strings.Join(names, " "))
		os.Exit(couldNot)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, recordFile string) (status int) {
	r, err := newRig(recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer r.close()
	r.trouble = os.Getenv("TROUBLE") != "0"
	r.note("case %s, trouble %t", name, r.trouble)
	type outcome struct {
		status  int
		verdict string
	}
	done := make(chan outcome, 1)
	go func() {
		defer func() {
			if cause := recover(); cause != nil {
				done <- outcome{couldNot, fmt.Sprint(cause)}
			}
		}()
		status, verdict := cases[name](r)
		done <- outcome{status, verdict}
	}()
	o := outcome{couldNot, "the time limit passed"}
	select {
	case o = <-done:
	case <-time.After(timeLimit):
	}
	words := map[int]string{held: "held", broken: "BROKEN", couldNot: "could not run"}
	r.note("result: %s: %s", words[o.status], o.verdict)
	fmt.Printf("%s: %s: %s\n", name, words[o.status], o.verdict)
	return o.status
}

// rig is a small deployment with its stand-ins.
type rig struct {
	trouble bool
	// dir is a temporary folder for settings, data and logs.
	dir    string
	net    string
	start  time.Time
	mu     sync.Mutex
	record *os.File
	procs  map[string]*process
	// nodes are the numbers of the coordinators in the list from which callers of ctrl pick.
	nodes []int
	stops []func()
}

func newRig(recordFile string) (*rig, error) {
	record, err := os.Create(recordFile)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "rig-2-")
	if err != nil {
		return nil, err
	}
	network, err := freeNetwork()
	if err != nil {
		return nil, err
	}
	return &rig{dir: dir, net: network, start: time.Now(), record: record, procs: map[string]*process{}, nodes: []int{1, 2, 3}}, nil
}

// note writes a line with the time since the start to the record.
func (r *rig) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// onClose registers a function that close calls, the latest first.
func (r *rig) onClose(stop func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stops = append(r.stops, stop)
}

func (r *rig) close() {
	r.mu.Lock()
	stops := r.stops
	r.stops = nil
	r.mu.Unlock()
	for i := len(stops) - 1; i >= 0; i-- {
		stops[i]()
	}
	r.killAll()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.dir)
	} else {
		fmt.Println("kept", r.dir)
	}
	_ = r.record.Close()
}

// listNodes sets the list from which the operator and the replicas pick.
func (r *rig) listNodes(nodes ...int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.nodes = nodes
}

// node returns the k-th node of that list, which is gone through again from its begin.
func (r *rig) node(k int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.nodes[k%len(r.nodes)]
}
