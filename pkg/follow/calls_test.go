package follow

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/geraniumpitch/geraniumpitch/pkg/usage"
)

// Guards against a rate of calls that is lost or exchanged for another one on the way to the coordinator and back,
// and against bytes on the wire for services without calls.
func TestCallsOnTheWire(t *testing.T) {
	calls := usage.Calls{Offered: 1, Late: 2, Sent: 3, Served: 4, Full: 5, Reports: 6, Queue: 7}
	report := usage.Report{Services: usage.Services{"a": {Requests: 8, Calls: calls}, "b": {Requests: 9}}}
	encoded := encodeUsageReport("g", report)
	qt.Assert(t, DecodeUsageReport(encoded).Services, qt.DeepEquals, report.Services)
	for _, s := range encoded.Services {
		qt.Assert(t, s.Calls == nil, qt.Equals, s.Service == "b")
	}
	report.Organisations = usage.Organisations{"a": {{Organisation: "bakery", Offered: 10, Usual: 11}}}
	qt.Assert(t, DecodeUsageReport(encodeUsageReport("g", report)).Organisations, qt.DeepEquals, report.Organisations)
	totals := usage.Totals{Services: report.Services, Organisations: report.Organisations}
	qt.Assert(t, DecodeUsageTotals(EncodeUsageTotals(totals)).Organisations, qt.DeepEquals, report.Organisations)
	qt.Assert(t, DecodeUsageTotals(EncodeUsageTotals(totals)).Services["a"].Calls, qt.Equals, calls)
}
