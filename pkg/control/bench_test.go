package control

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/geraniumpitch/geraniumpitch/pkg/document"
)

// benchState returns a state with the given number of organisations, added by
// changes of 1,000 items each.
func benchState(b *testing.B, organisations int) *State {
	s := NewState()
	for start := 0; start < organisations; start += 1000 {
		var ops []document.Op
		for i := start; i < min(start+1000, organisations); i++ {
			value, _ := json.Marshal(document.Organisation{
				Weight: 1, Ranks: []string{document.Urgent, document.Patient}, TokensPerSecond: 1000, MaxInFlight: 10,
				KeyHashes: []string{document.HashKey(fmt.Sprint("key", i))},
			})
			ops = append(ops, document.Op{Section: document.SectionOrganisations, Name: fmt.Sprintf("org-%d", i), Value: value})
		}
		result := applyTo(s, document.Change{ID: fmt.Sprint("load", start), Operator: "rozenn", Base: s.document.Version, Ops: ops})
		if result.Outcome != Accepted {
			b.Fatal(result)
		}
	}
	return s
}

var benchSizes = []int{10, 1000, 35_000}

// BenchmarkStateApply measures applying a change of one organisation at a control
// instance.
func BenchmarkStateApply(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			s := benchState(b, size)
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				i++
				c := document.Change{ID: fmt.Sprint(i), Operator: "rozenn", Base: s.document.Version,
					Ops: []document.Op{organisationOp(fmt.Sprintf("org-%d", i%size), 1+i%9)}}
				if result := applyTo(s, c); result.Outcome != Accepted {
					b.Fatal(result)
				}
			}
		})
	}
}

// BenchmarkDocumentApply measures applying a change of one organisation at a watcher.
func BenchmarkDocumentApply(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			d := benchState(b, size).document
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				i++
				next, err := d.Apply([]document.Op{organisationOp(fmt.Sprintf("org-%d", i%size), 1+i%9)})
				if err != nil {
					b.Fatal(err)
				}
				d = next
			}
		})
	}
}

// BenchmarkStateEncode measures encoding a snapshot, and its size.
func BenchmarkStateEncode(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			s := benchState(b, size)
			for b.Loop() {
				data, err := s.encode()
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(len(data)), "bytes")
			}
		})
	}
}
