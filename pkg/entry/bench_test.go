package entry

import (
	"fmt"
	"testing"

	"github.com/geraniumpitch/geraniumpitch/pkg/document"
)

// manyOrganisations returns a document with n organisations of one key each.
func manyOrganisations(n int) *document.Document {
	d := document.Empty()
	d.Version = 1
	for i := range n {
		name := fmt.Sprint("organisation-", i)
		d.Organisations[name] = document.Organisation{KeyHashes: []string{document.HashKey(name)}}
	}
	return d
}

// BenchmarkKeyIndex measures the rebuild of the key index, which each of the
// 33,000 configuration versions a day causes.
func BenchmarkKeyIndex(b *testing.B) {
	for _, n := range []int{10, 1000, 35_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			d := manyOrganisations(n)
			b.ReportAllocs()
			for b.Loop() {
				var index apiKeyIndex
				index.tableFor(d)
			}
		})
	}
}
