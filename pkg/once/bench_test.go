package once

import (
	"encoding/binary"
	"fmt"
	"runtime"
	"testing"
)

func numbered(i int) Key {
	k := Key{MintedMS: int64(i) % (24 * hourMS)}
	binary.BigEndian.PutUint64(k.ID[:], uint64(i)*0x9e3779b97f4a7c15)
	return k
}

// BenchmarkRecord measures a claim and a completion of a record that holds
// already the named number of used keys, and the memory per used key.
func BenchmarkRecord(b *testing.B) {
	for _, size := range []int{1_000, 30_000, 1_000_000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			r := NewRecord(Limits{Marks: 1 << 30, AnswerBytes: 16 << 20})
			for i := range size {
				r.Claim(0, numbered(i), Digest{}, uint64(i))
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			a := &Answer{Status: 200, Body: make([]byte, 100)}
			b.ReportAllocs()
			i := size
			for b.Loop() {
				k := numbered(i)
				r.Claim(0, k, Digest{}, uint64(i))
				r.Complete(k, uint64(i), a)
				i++
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(size), "B/key")
		})
	}
}

// BenchmarkKey measures the text of a key.
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
