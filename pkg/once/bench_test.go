package once

import (
	"encoding/binary"
	"fmt"
	"runtime"
	"testing"
)

func benchmarkKey(i int) Key {
	k := Key{MintedMS: int64(i) % (24 * hourMS)}
	binary.BigEndian.PutUint64(k.ID[:], uint64(i)*0x9e3779b97f4a7c15)
	return k
}

// BenchmarkRecord measures a claim and its completion in a record that already
// holds the given number of used keys, and the memory per used key.
func BenchmarkRecord(b *testing.B) {
	for _, usedKeys := range []int{1_000, 30_000, 1_000_000} {
		b.Run(fmt.Sprint(usedKeys), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			r := NewRecord(Limits{MaxKeys: 1 << 30, MaxAnswerBytes: 16 << 20})
			for i := range usedKeys {
				r.Claim(0, benchmarkKey(i), Digest{}, uint64(i))
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			a := &Answer{Status: 200, Body: make([]byte, 100)}
			b.ReportAllocs()
			i := usedKeys
			for b.Loop() {
				k := benchmarkKey(i)
				r.Claim(0, k, Digest{}, uint64(i))
				r.Complete(k, uint64(i), a)
				i++
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(usedKeys), "B/key")
		})
	}
}

// BenchmarkKey measures encoding and decoding the text of a key.
func BenchmarkKey(b *testing.B) {
	c := NewCodec("a secret of the deployment")
	text := c.Encode(sampleKey, "boutique")
	b.Run("encode", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			c.Encode(sampleKey, "boutique")
		}
	})
	b.Run("decode", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			_, _ = c.Decode(text, "boutique")
		}
	})
}
