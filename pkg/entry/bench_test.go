package entry

import (
	"fmt"
	"testing"

	"github.com/geraniumpitch/geraniumpitch/pkg/document"
)

func manyOrganisations(n int) *document.Document {
	d := document.Empty()
	d.Version = 1
	for i := range n {
		name := fmt.Sprint("organisation-", i)
		d.Organisations[name] = document.Organisation{KeyHashes: []string{document.HashKey(name)}}
	}
	return d
}

// BenchmarkKeyIndex measures the rebuild of the index at a new configuration
// version, of which there are 33,000 a day.
func BenchmarkKeyIndex(b *testing.B) {
	for _, n := range []int{10, 1000, 35_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			d := manyOrganisations(n)
			b.ReportAllocs()
			for b.Loop() {
				var x keyIndex
				x.table(d)
			}
		})
	}
}
