package usage

// Calls is what one gateway or several saw of the calls of a service within the last second. All fields are
// rates per second.
type Calls struct {
	// Offered counts the calls of callers that can still be on time, and Late the others.
	Offered, Late float64
	// Sent counts the sends to backend servers, Served the responses of servers that ran the call, and Full
	// the refusals of servers that had no room.
	Sent, Served, Full float64
	// Reports counts the load reports of servers, and Queue adds up the waiting calls per slot in them.
	Reports, Queue float64
}

// Add adds the calls of other gateways.
func (c Calls) Add(other Calls) Calls {
	return Calls{
		Offered: c.Offered + other.Offered, Late: c.Late + other.Late, Sent: c.Sent + other.Sent, Served: c.Served + other.Served,
		Full: c.Full + other.Full, Reports: c.Reports + other.Reports, Queue: c.Queue + other.Queue,
	}
}

// MeanQueue returns the mean number of waiting calls per slot that servers reported, 0 without a report.
func (c Calls) MeanQueue() float64 {
	if c.Reports <= 0 {
		return 0
	}
	return c.Queue / c.Reports
}

// Scale multiplies all rates by a factor.
func (c Calls) Scale(factor float64) Calls {
	return Calls{
		Offered: c.Offered * factor, Late: c.Late * factor, Sent: c.Sent * factor, Served: c.Served * factor,
		Full: c.Full * factor, Reports: c.Reports * factor, Queue: c.Queue * factor,
	}
}
