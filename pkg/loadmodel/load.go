package loadmodel

import (
	"os"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"github.com/tailscale/hujson"

	"encoding/json"
)

// LoadPattern is a recorded load pattern: the requests of callers and the failures of engines.
type LoadPattern struct {
	Name string `json:"name"`
	// Description is a one-line description of the effect of the load on a system.
	Description string `json:"pattern"`
	// Seconds is the period in which callers arrive.
	Seconds     float64      `json:"seconds"`
	DataCentres []DataCentre `json:"data_centres"`
	Engine      EngineSpec   `json:"engine"`
	// Organisations is the number of organisations, all of the same size. The last one sends ExcessTimes its usual load
	// from ExcessFromS to ExcessToS, if that is set.
	Organisations int     `json:"organisations"`
	ExcessTimes   float64 `json:"excess_times"`
	ExcessFromS   float64 `json:"excess_from_s"`
	ExcessToS     float64 `json:"excess_to_s"`
	// Speeds are the speeds of the engines relative to Engine, which take turns; all are 1 if it is empty.
	Speeds []float64 `json:"speeds"`
	Noise  Noise     `json:"noise"`
	Kinds  []Kind    `json:"kinds"`
	Faults []Fault   `json:"faults"`
}

// DataCentre describes the engines and gateways of one data centre.
type DataCentre struct {
	Name     string `json:"name"`
	Engines  int    `json:"engines"`
	Gateways int    `json:"gateways"`
}

// Noise slows down engines for a moment, as other work on their machines does.
type Noise struct {
	// Share is the share of the time in which an engine takes Times as long, for up to LengthMS at a time.
	Share    float64 `json:"share"`
	Times    float64 `json:"times"`
	LengthMS float64 `json:"length_ms"`
}

// Kind describes one kind of stream.
type Kind struct {
	Name string `json:"name"`
	// Rank is the priority, 0 first.
	Rank int `json:"rank"`
	// PerSecond is the base arrival rate. Bursts multiply it for a limited time.
	PerSecond float64 `json:"per_second"`
	Bursts    []Burst `json:"bursts"`
	// PromptTokens and OutputTokens are means in tokens. PromptSpread and OutputSpread are the
	// standard deviations divided by these means.
	PromptTokens int     `json:"prompt_tokens"`
	PromptSpread float64 `json:"prompt_spread"`
	OutputTokens int     `json:"output_tokens"`
	OutputSpread float64 `json:"output_spread"`
	// FirstEventMS and PauseMS are the largest delay of the first event and the longest pause
	// between events, in milliseconds, for a stream to be in time.
	FirstEventMS float64 `json:"first_event_ms"`
	PauseMS      float64 `json:"pause_ms"`
	// TimeoutMS is the time limit of callers for the whole stream, 0 for none. Only the policy that refuses streams
	// applies it, to those that wait.
	TimeoutMS float64 `json:"timeout_ms"`
}

// Burst multiplies the arrival rate of a kind.
type Burst struct {
	FromS float64 `json:"from_s"`
	ToS   float64 `json:"to_s"`
	Times float64 `json:"times"`
}

// Fault ends a share of the engines of a data centre at FromS. New processes start at the same
// addresses at ToS.
type Fault struct {
	DataCentre string  `json:"data_centre"`
	Share      float64 `json:"share"`
	FromS      float64 `json:"from_s"`
	ToS        float64 `json:"to_s"`
}

// ReadLoadPattern reads a load pattern from a file of JSON with comments. It fails if the file
// cannot be read or lacks a required value.
func ReadLoadPattern(file string) (*LoadPattern, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, eris.Wrap(err, "read the load pattern")
	}
	standardJSON, err := hujson.Standardize(data)
	if err != nil {
		return nil, eris.Wrapf(err, "read the load pattern %s", file)
	}
	load := &LoadPattern{}
	if err := json.Unmarshal(standardJSON, load); err != nil {
		return nil, eris.Wrapf(err, "read the load pattern %s", file)
	}
	return load, load.validate()
}

// WithGateways returns the load with the given number of gateways in all, spread evenly over the data centres.
func (l *LoadPattern) WithGateways(n int) *LoadPattern {
	changed := *l
	changed.DataCentres = slices.Clone(l.DataCentres)
	for i := range changed.DataCentres {
		changed.DataCentres[i].Gateways = (n + i) / len(l.DataCentres)
	}
	return &changed
}

func (l *LoadPattern) validate() error {
	engines, gateways := 0, 0
	for _, d := range l.DataCentres {
		engines += d.Engines
		gateways += d.Gateways
	}
	switch {
	case engines == 0 || gateways == 0:
		return eris.Errorf("load %q: data_centres must contain an engine and a gateway", l.Name)
	case slices.ContainsFunc(l.Speeds, func(speed float64) bool { return speed <= 0 }):
		return eris.Errorf("load %q: speeds must be positive", l.Name)
	case l.Noise.Share > 0 && (l.Noise.Times <= 0 || l.Noise.LengthMS <= 0):
		return eris.Errorf("load %q: times and length_ms of noise must be positive", l.Name)
	case len(l.Kinds) == 0 || l.Seconds <= 0:
		return eris.Errorf("load %q: kinds must not be empty and seconds must be positive", l.Name)
	case l.Engine.StepMS <= 0 || l.Engine.ReadTokensPerMS <= 0 || l.Engine.ChunkTokens <= 0 || l.Engine.TokensPerEvent <= 0:
		return eris.Errorf("load %q: step_ms, read_tokens_per_ms, chunk_tokens and tokens_per_event of engine must be positive", l.Name)
	}
	return nil
}

// rate returns the arrival rate of a kind, per second, at a point in time.
func (k *Kind) rate(elapsed time.Duration) float64 {
	rate := k.PerSecond
	for _, b := range k.Bursts {
		if elapsed.Seconds() >= b.FromS && elapsed.Seconds() < b.ToS {
			rate *= b.Times
		}
	}
	return rate
}
