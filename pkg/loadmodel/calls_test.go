package loadmodel

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// The gateways know an overload from settledS on, and its effects have passed at calmS.
const (
	settledS = overloadBeginsS + 2
	calmS    = overloadEndsS + 2
)

// gatewayCounts are the sizes of deployments for which decisions must hold.
var gatewayCounts = []int{3, 16, 95, 300}

// summarizePeriod returns the summary of the calls of a kind that arrived in a period; an empty kind is any.
func summarizePeriod(results []CallResult, kind string, fromS, toS float64) CallSummary {
	return SummarizeCalls(results, func(r CallResult) bool {
		return (kind == "" || r.Kind == kind) && r.ArrivedS >= fromS && r.ArrivedS < toS
	})
}

func callPattern(name string, gateways int) *CallPattern {
	for _, p := range CallPatterns(gateways) {
		if p.Name == name {
			return p
		}
	}
	panic("no pattern " + name)
}

// simulateCallSeeds simulates a pattern with several seeds, so that a share of a kind is known to about one in a hundred.
func simulateCallSeeds(p *CallPattern, policy CallPolicy) (all []CallResult) {
	for seed := range uint64(3) {
		all = append(all, SimulateCalls(p, policy, seed)...)
	}
	return all
}

var (
	forwardPolicy = CallPolicies()[0]
	shedPolicy    = CallPolicies()[1]
)

// Guards against calls that all become late, or are sent in vain, when one of three servers is left: 200 of 230
// calls per second find a place, and at least three quarters of each kind must be on time.
func TestOneServerLeft(t *testing.T) {
	for _, n := range gatewayCounts {
		p := callPattern("one-server-left", n)
		before, after := simulateCallSeeds(p, forwardPolicy), simulateCallSeeds(p, shedPolicy)
		for _, k := range p.Kinds {
			old, now := summarizePeriod(before, k.Name, settledS, overloadEndsS), summarizePeriod(after, k.Name, settledS, overloadEndsS)
			comment := qt.Commentf("%d gateways, %s: in time %.3f, before %.3f", n, k.Name, now.InTime, old.InTime)
			t.Log(comment)
			qt.Check(t, now.InTime >= 0.75, qt.IsTrue, comment)
			qt.Check(t, now.InTime > old.InTime, qt.IsTrue, comment)
			qt.Check(t, now.RefusedSends < 0.03, qt.IsTrue, qt.Commentf("servers refuse %.3f of the sends", now.RefusedSends))
		}
	}
}

// Guards against refusals while the servers have room, before and after an overload.
func TestNothingIsRefusedInCalm(t *testing.T) {
	for _, n := range gatewayCounts {
		results := simulateCallSeeds(callPattern("one-server-left", n), shedPolicy)
		qt.Check(t, summarizePeriod(results, "", 1, overloadBeginsS).Refused, qt.Equals, 0.0, qt.Commentf("%d gateways, before", n))
		qt.Check(t, summarizePeriod(results, "", calmS, 40).Refused, qt.Equals, 0.0, qt.Commentf("%d gateways, after", n))
	}
}

// Guards against a gateway without coordinators that refuses most calls, or that takes the places of the others.
func TestCutOffGatewaysServe(t *testing.T) {
	for _, n := range gatewayCounts {
		results := simulateCallSeeds(callPattern("cut-off", n), shedPolicy)
		for _, cutOff := range []bool{false, true} {
			s := SummarizeCalls(results, func(r CallResult) bool {
				return r.CutOff == cutOff && r.ArrivedS >= settledS && r.ArrivedS < overloadEndsS
			})
			t.Logf("%d gateways, cut off %t: in time %.3f, served %.3f", n, cutOff, s.InTime, s.Served)
			qt.Check(t, s.InTime >= 0.6, qt.IsTrue, qt.Commentf("%d gateways, cut off %t: in time %.3f", n, cutOff, s.InTime))
		}
		calm := summarizePeriod(results, "", 1, overloadBeginsS)
		qt.Check(t, calm.Refused, qt.Equals, 0.0)
	}
}

// Guards against a decision that holds for one pattern only: bursts, slower servers, callers that repeat at once.
func TestSheddingHelpsInAllPatterns(t *testing.T) {
	for _, n := range []int{16, 300} {
		for _, p := range CallPatterns(n) {
			if strings.HasPrefix(p.Name, "slow-spells") {
				continue // TestShortSlowness has its own bounds.
			}
			before, after := SimulateCalls(p, forwardPolicy, 1), SimulateCalls(p, shedPolicy, 1)
			for _, k := range p.Kinds {
				old, now := summarizePeriod(before, k.Name, settledS, overloadEndsS), summarizePeriod(after, k.Name, settledS, overloadEndsS)
				comment := qt.Commentf("%s, %d gateways, %s: in time %.3f, before %.3f", p.Name, n, k.Name, now.InTime, old.InTime)
				t.Log(comment)
				qt.Check(t, now.InTime > old.InTime, qt.IsTrue, comment)
			}
		}
	}
}

// Guards against an organisation with many times its usual load that takes the places of the others, and against the
// refusal of large organisations that send what they always do.
func TestUsualShareOfOrganisationsIsServed(t *testing.T) {
	for _, n := range gatewayCounts {
		p := callPattern("one-organisation", n)
		results := simulateCallSeeds(p, shedPolicy)
		summarize := func(include func(organisation string) bool) CallSummary {
			return SummarizeCalls(results, func(r CallResult) bool {
				return include(r.Organisation) && r.ArrivedS >= settledS+2 && r.ArrivedS < overloadEndsS
			})
		}
		excess := p.excessOrganisation()
		others := summarize(func(o string) bool { return o != excess })
		large := summarize(func(o string) bool { return o == "o0" || o == "o1" || o == "o2" })
		loud := summarize(func(o string) bool { return o == excess })
		t.Logf("%d gateways: in time others %.3f, large ones %.3f, the one in excess %.3f", n, others.InTime, large.InTime, loud.InTime)
		qt.Check(t, others.InTime >= 0.75, qt.IsTrue, qt.Commentf("%d gateways: others %.3f", n, others.InTime))
		qt.Check(t, large.InTime >= 0.75, qt.IsTrue, qt.Commentf("%d gateways: large ones %.3f", n, large.InTime))
		qt.Check(t, loud.InTime < 0.5, qt.IsTrue, qt.Commentf("%d gateways: the one in excess %.3f", n, loud.InTime))
		// The organisation in excess still gets about what it usually does.
		qt.Check(t, loud.InTime*p.ExcessTimes >= 0.5, qt.IsTrue, qt.Commentf("%d gateways: the one in excess %.3f", n, loud.InTime))
	}
}

// Guards against refusals when servers that have enough room are slow for a moment, and against many refusals after such
// a moment when only one is left: the totals tell of it until two seconds later.
func TestShortSlowness(t *testing.T) {
	for _, n := range gatewayCounts {
		spells := simulateCallSeeds(callPattern("slow-spells", n), shedPolicy)
		qt.Check(t, summarizePeriod(spells, "", 1, overloadEndsS).Refused, qt.Equals, 0.0, qt.Commentf("%d gateways", n))
		p := callPattern("slow-spells-at-one-server", n)
		before, after := simulateCallSeeds(p, forwardPolicy), simulateCallSeeds(p, shedPolicy)
		old, now := summarizePeriod(before, "", settledS, overloadEndsS), summarizePeriod(after, "", settledS, overloadEndsS)
		t.Logf("%d gateways, one server: in time %.3f, before %.3f", n, now.InTime, old.InTime)
		// Shedding costs more than it gains here, as it begins when the slowness ends.
		qt.Check(t, now.InTime >= old.InTime-0.1, qt.IsTrue, qt.Commentf("%d gateways: in time %.3f, before %.3f", n, now.InTime, old.InTime))
	}
}
