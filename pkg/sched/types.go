// Package sched decides which request gets which backend server. It is pure: it
// starts no goroutine, and time and the random source are arguments. A Pool is
// not safe for concurrent use.
package sched

import (
	"time"

	"github.com/geraniumpitch/geraniumpitch/pkg/document"
)

// Rank is the rank of a request.
type Rank uint8

// Ranks, in the order of service.
const (
	Urgent Rank = iota
	Patient
	rankCount
)

// ParseRank returns the rank of the given name in the document.
func ParseRank(name string) (Rank, bool) {
	switch name {
	case document.Urgent:
		return Urgent, true
	case document.Patient:
		return Patient, true
	}
	return 0, false
}

// Policy selects the order of service.
type Policy uint8

// Policies.
const (
	// Fair serves by rank and, within a rank, by weighted fair queueing.
	Fair Policy = iota
	// FIFO serves in the order of arrival; it is the baseline for measurements.
	FIFO
)

// Key names a request: the entry instance that sent it and its number there.
type Key struct {
	Instance string
	Number   uint64
}

// Request asks for a slot.
type Request struct {
	Key          Key
	Organisation string
	Rank         Rank
	// Tokens is the estimated cost, at least 1.
	Tokens int
	// Prefix is the hash of the start of the prompt, 0 if unknown.
	Prefix uint64
	// Exclude names backend servers not to be chosen.
	Exclude []string
	// Resumed counts the tokens already delivered. Resumed work goes ahead of
	// new work of its rank and is not refused for limits or a long wait.
	Resumed int
	// Remote requests come from another data centre. They are granted a free
	// slot at once or refused.
	Remote bool
}

// Kind tells what a decision is.
type Kind uint8

// Kinds of decisions.
const (
	// Granted gives a slot of Server to the request.
	Granted Kind = iota
	// Refused ends the request without a slot.
	Refused
	// Preempted asks the holder of a grant to cancel it and queue again.
	Preempted
	// Delayed tells that the request is queued and expected to wait for Wait,
	// which is longer than ElsewhereAfter.
	Delayed
)

// Reason tells why a request was refused.
type Reason string

// Reasons of refusals.
const (
	QueueFull Reason = "queue_full"
	TooLate   Reason = "too_late"
	NoBackend Reason = "no_backend"
	Limit     Reason = "limit"
)

// Decision is one result of a call to a Pool.
type Decision struct {
	Kind    Kind
	Key     Key
	Server  string
	Address string
	// Slots is the announced number of slots of the server.
	Slots  int
	Reason Reason
	// Wait is the time after which a refused request would be accepted, or the
	// expected wait of a delayed one.
	Wait time.Duration
}

// Outcome tells how a granted request ended.
type Outcome uint8

// Outcomes.
const (
	OK Outcome = iota
	// Failed is a fault of the backend server.
	Failed
	// NoRoom tells that the backend server refused because it was full.
	NoRoom
	// Cancelled tells nothing about the backend server.
	Cancelled
)

// Usage is what a released grant consumed.
type Usage struct {
	Outcome Outcome
	// Tokens is the real cost.
	Tokens int
	// FirstToken is the time to the first token or answer, 0 if none came.
	FirstToken time.Duration
}

// Announcement is what a backend server reports about itself.
type Announcement struct {
	ID      string
	Address string
	Slots   int
	// Running and Queued lag behind the grants.
	Running, Queued int
	// Incarnation is raised at each start of the server, Sequence with each
	// announcement of one incarnation.
	Incarnation, Sequence uint64
}

// RankConfig holds the targets of one rank.
type RankConfig struct {
	// MaxWait is the longest time in the queue.
	MaxWait time.Duration
	// QueuePerOrganisation bounds the queued requests of one organisation.
	QueuePerOrganisation int
	// FloorPercent is the least share of the slots while work of the rank waits.
	FloorPercent int
}

// OrganisationConfig holds weight and limits of one organisation; a limit of 0
// is no limit.
type OrganisationConfig struct {
	Weight          int
	TokensPerSecond int
	MaxInFlight     int
}

// Config configures a Pool.
type Config struct {
	Policy Policy
	Ranks  [rankCount]RankConfig
	// Preempt allows the cancellation of patient grants for waiting urgent work.
	Preempt bool
	// PreemptAfter is how long urgent work waits before it causes a preemption.
	PreemptAfter time.Duration
	// PreemptCost bounds the tokens that one preemption may throw away; 0 is no bound.
	PreemptCost int
	// Organisation returns the configuration of an organisation; nil gives
	// every organisation weight 1 and no limits.
	Organisation func(name string) OrganisationConfig
	// Shares computes this pool's part of the limits; nil applies the whole limit.
	Shares *Shares
}

// Preemption was measured in the flood scenario of this package's tests. With
// these bounds the urgent wait at the 95th percentile falls from 0.29 s to
// 0.12 s, and under 0.2% of the tokens are computed again; preemption at once
// and of any grant recomputed ten times as many.
const (
	DefaultPreemptAfter = 100 * time.Millisecond
	DefaultPreemptCost  = 25
)

const (
	// ElsewhereAfter is the expected wait from which other data centres are asked.
	ElsewhereAfter = 2 * time.Second
	// urgentRecent is how long after an urgent arrival slots stay reserved.
	urgentRecent = 10 * time.Second
	// reservePercent of the slots are kept from patient work in that time.
	reservePercent = 10
	// organisationIdle is how long an organisation without work keeps its state,
	// so that a pause between two requests does not reset its fair share.
	organisationIdle = 30 * time.Second
	// startGrace is how long a new pool without backend servers queues requests
	// instead of refusing them: announcements come once a second.
	startGrace = 1500 * time.Millisecond
	// fifoLimit bounds the whole queue of the baseline policy, in requests.
	fifoLimit = 10_000
)

// Defaults of ranks that the document does not configure.
var defaultRanks = [rankCount]RankConfig{
	Urgent:  {MaxWait: 5 * time.Second, QueuePerOrganisation: 1000},
	Patient: {MaxWait: 60 * time.Second, QueuePerOrganisation: 1000, FloorPercent: 10},
}

// RanksOf returns the rank configuration of a document.
func RanksOf(d *document.Document) [rankCount]RankConfig {
	ranks := defaultRanks
	for name, r := range d.Ranks {
		if rank, ok := ParseRank(name); ok {
			ranks[rank] = RankConfig{
				MaxWait:              time.Duration(r.MaxWaitMS) * time.Millisecond,
				QueuePerOrganisation: r.QueuePerOrganisation,
				FloorPercent:         r.FloorPercent,
			}
		}
	}
	return ranks
}
