// Package sched assigns requests to backend servers. A pool is the set of the backend
// servers of one service in one data centre, and has the name of the service. A slot is
// the capacity of a server for one request at a time. A grant is the assignment of a slot
// to a request until it is released.
//
// The package has no side effects: it starts no goroutines and takes the time and the
// random source as arguments. A Pool is not safe for concurrent use.
package sched

import (
	"time"

	"github.com/geraniumpitch/geraniumpitch/pkg/document"
)

// Rank is the priority class of a request.
type Rank uint8

// Ranks in the order of precedence.
const (
	Urgent Rank = iota
	Patient
	rankCount
)

// ParseRank returns the rank with the given name in the configuration document.
func ParseRank(name string) (Rank, bool) {
	switch name {
	case document.Urgent:
		return Urgent, true
	case document.Patient:
		return Patient, true
	}
	return 0, false
}

// Policy selects the order in which requests are served.
type Policy uint8

// Policies.
const (
	// Fair serves by rank and, within a rank, by weighted fair queueing.
	Fair Policy = iota
	// FIFO serves in the order of arrival. It is the baseline for measurements.
	FIFO
)

// Key identifies a request by the process of the entry instance that sent it, and by that
// process's request number. An instance has a new process identifier after a restart.
type Key struct {
	ProcessID string
	Number    uint64
}

// Request is a request for a slot.
type Request struct {
	Key          Key
	Organisation string
	Rank         Rank
	// EstimatedTokens is the expected cost, at least 1.
	EstimatedTokens int
	// PrefixHash is the hash of the start of the prompt, or 0 if unknown.
	PrefixHash uint64
	// Exclude lists the identifiers of backend servers that must not be selected.
	Exclude []string
	// ResumedTokens is the number of tokens that were already delivered. A resumed
	// request is served before new requests of its rank and is not refused because of
	// limits or a long wait.
	ResumedTokens int
	// Remote marks a request from another data centre. It gets a free slot at once or is
	// refused.
	Remote bool
}

// Kind is the kind of a decision.
type Kind uint8

// Kinds of decisions.
const (
	// Granted assigns a slot of Server to the request.
	Granted Kind = iota
	// Refused ends the request without a slot.
	Refused
	// Preempted asks the holder of a grant to cancel the work and acquire a slot again.
	Preempted
	// Delayed reports that the request is queued with an expected wait of Wait, which is
	// longer than RemoteWaitThreshold.
	Delayed
)

// Reason is the reason for a refusal.
type Reason string

// Reasons for refusals.
const (
	QueueFull    Reason = "queue_full"
	TooLate      Reason = "too_late"
	NoBackend    Reason = "no_backend"
	LimitReached Reason = "limit"
)

// Decision is one result of a call to a Pool.
type Decision struct {
	Kind    Kind
	Key     Key
	Server  string
	Address string
	// Slots is the number of slots that the server announced.
	Slots  int
	Reason Reason
	// Wait is the time after which a refused request may be retried, or the expected wait
	// of a delayed one.
	Wait time.Duration
}

// Outcome is the result of a granted request.
type Outcome uint8

// Outcomes.
const (
	OK Outcome = iota
	// Failed marks a fault of the backend server.
	Failed
	// ServerFull marks a refusal by the backend server because it was full.
	ServerFull
	// Cancelled does not count for or against the backend server.
	Cancelled
)

// Usage describes what a released grant consumed.
type Usage struct {
	Outcome Outcome
	// Tokens is the actual cost.
	Tokens int
	// TimeToFirstToken is the time from sending the request to the backend server until
	// the first token or the response arrived, or 0 if none did.
	TimeToFirstToken time.Duration
}

// Announcement is the state that a backend server reports about itself.
type Announcement struct {
	ID      string
	Address string
	Slots   int
	// Running and Queued lag behind the grants.
	Running, Queued int
	// Incarnation increases with each start of the server, Sequence with each
	// announcement of one incarnation.
	Incarnation, Sequence uint64
}

// RankConfig holds the limits and the guaranteed share of one rank.
type RankConfig struct {
	// MaxWait is the maximum time in the queue.
	MaxWait time.Duration
	// QueuePerOrganisation is the maximum number of queued requests of one organisation.
	QueuePerOrganisation int
	// FloorPercent is the minimum share of the slots while requests of the rank are
	// queued. It only applies to the patient rank.
	FloorPercent int
}

// OrganisationConfig holds the weight and the limits of one organisation. A limit of 0
// means no limit.
type OrganisationConfig struct {
	Weight          int
	TokensPerSecond int
	MaxInFlight     int
}

// Config configures a Pool.
type Config struct {
	Policy Policy
	Ranks  [rankCount]RankConfig
	// Preempt allows patient grants to be cancelled for queued urgent requests.
	Preempt bool
	// PreemptAfter is how long an urgent request is queued before it causes a preemption.
	PreemptAfter time.Duration
	// MaxPreemptCost bounds the tokens that one preemption may discard; 0 means no bound.
	MaxPreemptCost int
	// Organisation returns the configuration of an organisation. If it is nil, every
	// organisation has weight 1 and no limits.
	Organisation func(name string) OrganisationConfig
	// Shares computes this pool's shares of the limits. If it is nil, the pool applies
	// the whole limits.
	Shares *Shares
}

// Defaults for Config.PreemptAfter and, in tokens, Config.MaxPreemptCost. They shorten the
// wait of urgent requests while few tokens are computed again; preempting immediately and
// regardless of cost computes ten times as many again.
const (
	DefaultPreemptAfter   = 100 * time.Millisecond
	DefaultMaxPreemptCost = 25
)

const (
	// RemoteWaitThreshold is the expected wait above which other data centres are asked.
	RemoteWaitThreshold = 2 * time.Second
	// urgentReservationTime is how long slots stay reserved after the arrival of an
	// urgent request.
	urgentReservationTime = 10 * time.Second
	// urgentReservePercent is the percentage of the slots that patient work may not use
	// during that time.
	urgentReservePercent = 10
	// organisationIdleTTL is how long the state of an organisation without requests is
	// kept, so that a pause between two requests does not reset its fair share.
	organisationIdleTTL = 30 * time.Second
	// announcementWait is how long a new pool without backend servers queues requests
	// instead of refusing them. Announcements arrive once a second.
	announcementWait = 1500 * time.Millisecond
	// maxFIFOQueue is the maximum number of queued requests under the FIFO policy.
	maxFIFOQueue = 10_000
)

// defaultRanks applies to ranks that the document does not configure.
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
