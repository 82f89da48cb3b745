package loadmodel

import (
	"fmt"
	"testing"
)

func TestTryCalls(t *testing.T) {
	for _, n := range []int{3, 62, 300} {
		p := OneServerLeft(n)
		for _, policy := range CallPolicies()[1:] {
			var all []CallResult
			for seed := range uint64(4) {
				all = append(all, SimulateCalls(p, policy, seed)...)
			}
			for _, part := range []struct{ from, to float64 }{{8, 12}, {12, 28}, {28, 30}} {
				line := fmt.Sprintf("%3d %8s %2.0f-%2.0f", n, policy.Name, part.from, part.to)
				for _, k := range p.Kinds {
					s := SummarizeCalls(all, func(r CallResult) bool {
						return r.Kind == k.Name && r.ArrivedS >= part.from && r.ArrivedS < part.to
					})
					line += fmt.Sprintf("  %s in %.3f served %.3f refused %.3f sends %.2f full %.3f", k.Name, s.InTime, s.Served, s.Refused, s.SendsPerCall, s.RefusedSends)
				}
				fmt.Println(line)
			}
		}
	}
}
