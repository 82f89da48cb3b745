package loadmodel

import (
	"cmp"
	"slices"
)

// Summary aggregates the streams of a simulation.
type Summary struct {
	Streams int
	// InTime is the share of streams within their bounds, InTimeByKind the share per kind.
	InTime       float64
	InTimeByKind map[string]float64
	// FirstEvent, Duration and MaxPause are quantiles over all streams of the delay of the first
	// event, the duration and the longest pause, in seconds.
	FirstEvent, Duration, MaxPause Quantiles
	// RepeatedPrefillShare is the number of prompt tokens in repeated prefills, as a fraction of
	// all prompt tokens.
	RepeatedPrefillShare float64
	// Copies is the mean number of memory copies per stream, Attempts that of runs, and SilentMoves that of
	// moves from an engine without an event.
	Copies, Attempts, SilentMoves float64
}

// Quantiles holds the median and the 95th percentile of a duration, in seconds.
type Quantiles struct{ Median, P95 float64 }

// Summarize aggregates simulated streams.
func Summarize(streams []Stream) Summary {
	s := Summary{Streams: len(streams), InTimeByKind: map[string]float64{}}
	if len(streams) == 0 {
		return s
	}
	kinds := map[string]int{}
	prefilled, prompts, copies, attempts, silentMoves := 0, 0, 0, 0, 0
	for _, stream := range streams {
		kinds[stream.Kind]++
		if stream.InTime {
			s.InTime++
			s.InTimeByKind[stream.Kind]++
		}
		prefilled += stream.PrefillTokens
		prompts += stream.PromptTokens
		copies += stream.Copies
		attempts += stream.Attempts
		silentMoves += stream.SilentMoves
	}
	s.InTime /= float64(len(streams))
	for kind, n := range kinds {
		s.InTimeByKind[kind] /= float64(n)
	}
	s.RepeatedPrefillShare = float64(prefilled-prompts) / float64(prompts)
	s.Copies = float64(copies) / float64(len(streams))
	s.Attempts = float64(attempts) / float64(len(streams))
	s.SilentMoves = float64(silentMoves) / float64(len(streams))
	s.FirstEvent = quantiles(streams, func(s Stream) float64 { return s.FirstEventS })
	s.Duration = quantiles(streams, func(s Stream) float64 { return s.DurationS })
	s.MaxPause = quantiles(streams, func(s Stream) float64 { return s.MaxPauseS })
	return s
}

func quantiles(streams []Stream, valueOf func(Stream) float64) Quantiles {
	values := make([]float64, 0, len(streams))
	for _, s := range streams {
		values = append(values, valueOf(s))
	}
	slices.SortFunc(values, cmp.Compare)
	quantile := func(q float64) float64 { return values[int(q*float64(len(values)-1))] }
	return Quantiles{Median: quantile(0.5), P95: quantile(0.95)}
}
