package loadmodel

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// excessLoad is a load of prompts of which one of 24 organisations sends 30 times its usual number: the
// usual load takes half of the places, and with it, more prompts arrive than the engines read.
func excessLoad(gateways int) *LoadPattern {
	return &LoadPattern{
		Name: "excess", Seconds: 40, DataCentres: []DataCentre{{Name: "local", Engines: 24, Gateways: gateways}},
		Engine: EngineSpec{
			StepMS: 2.6, StepPerRunMS: 0.1, ReadTokensPerMS: 8, ChunkTokens: 200, FirstMS: 31, Runs: 12, MemoryTokens: 88000, TokensPerEvent: 10,
		},
		Kinds: []Kind{
			{Name: "urgent", Rank: 0, PerSecond: 1, PromptTokens: 8200, PromptSpread: 0.3, OutputTokens: 1300, OutputSpread: 0.2, FirstEventMS: 4000, PauseMS: 700, TimeoutMS: 25000},
			{Name: "patient", Rank: 2, PerSecond: 13, PromptTokens: 8200, PromptSpread: 0.3, OutputTokens: 1300, OutputSpread: 0.2, FirstEventMS: 10000, PauseMS: 700, TimeoutMS: 25000},
		},
		Organisations: 24, ExcessTimes: 30, ExcessFromS: 10, ExcessToS: 30,
	}
}

// Guards against an organisation with many times its usual load whose prompts take the places of the others', at the
// same gateway or at other ones.
func TestUsualShareOfStreamsIsServed(t *testing.T) {
	for _, n := range gatewayCounts {
		inTime := map[string]float64{}
		for _, p := range Policies() {
			if p.Name != "held" && p.Name != "fair" {
				continue
			}
			load, others, calm := excessLoad(n), 0.0, 0.0
			for _, s := range Simulate(load, p, 1) {
				switch {
				case s.ArrivedS < load.ExcessFromS:
					calm++
					qt.Check(t, s.Refused, qt.IsFalse)
				case s.ArrivedS < load.ExcessToS && s.Organisation != "o23":
					others++
					inTime[p.Name] += boolToFloat(s.InTime)
				}
			}
			inTime[p.Name] /= others
			qt.Check(t, calm > 0, qt.IsTrue)
		}
		t.Logf("%d gateways: others in time %.3f, before %.3f", n, inTime["fair"], inTime["held"])
		qt.Check(t, inTime["fair"] >= inTime["held"]+0.08, qt.IsTrue, qt.Commentf("%d gateways: %v", n, inTime))
	}
}
