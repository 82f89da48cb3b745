package follow

import (
	"bytes"
	"compress/flate"
	"context"
	"hash/fnv"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"storj.io/drpc"

	"github.com/geraniumpitch/geraniumpitch/pkg/rpc"
	"github.com/geraniumpitch/geraniumpitch/pkg/wire"
)

const (
	// maxPushedBytes is the maximum compressed size of a publication that every coordinator pushes
	// to every gateway. The copies of a larger one would fill the link of a gateway, so it is named
	// only, and fetched from one coordinator.
	maxPushedBytes = 8 << 10
	// maxPublicationBytes bounds the size of a publication after decompression.
	maxPublicationBytes = 16 << 20
	// fetchTimeout bounds one fetch. fetchHedgeDelay is the time without a response after which the
	// next coordinator is asked too, and fetchRetryDelay the wait after all have failed.
	fetchTimeout    = 2 * time.Second
	fetchHedgeDelay = 400 * time.Millisecond
	fetchRetryDelay = 60 * time.Millisecond
	// preferredHolderWait is how long a gateway waits for the coordinator that it prefers to hold a
	// publication too. Most members of the control group apply it within one heartbeat of the leader.
	preferredHolderWait = 50 * time.Millisecond
)

// PublicationEncoder encodes publications for gateways and keeps the latest one in its compressed
// form. The zero value is ready for use.
type PublicationEncoder struct {
	mu       sync.Mutex
	revision uint64
	// content is what compressed holds: a publication that is not committed may be replaced by another
	// one with its revision.
	content, compressed []byte
}

// Compress returns the publication with its compressed content.
func (e *PublicationEncoder) Compress(revision uint64, content []byte) (*wire.Publication, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.compressed == nil || e.revision != revision || !bytes.Equal(e.content, content) {
		var buffer bytes.Buffer
		w, err := flate.NewWriter(&buffer, flate.BestSpeed)
		if err != nil {
			return nil, eris.Wrap(err, "compress a publication")
		}
		if _, err := w.Write(content); err != nil {
			return nil, eris.Wrap(err, "compress a publication")
		}
		if err := w.Close(); err != nil {
			return nil, eris.Wrap(err, "compress a publication")
		}
		e.revision, e.content, e.compressed = revision, content, buffer.Bytes()
	}
	return &wire.Publication{Revision: revision, Compressed: e.compressed}, nil
}

// Event returns the publication for an event: with its content if that is small, and only its name
// otherwise.
func (e *PublicationEncoder) Event(revision uint64, content []byte) (*wire.Publication, error) {
	p, err := e.Compress(revision, content)
	if err == nil && len(p.Compressed) > maxPushedBytes {
		p.Compressed = nil
	}
	return p, err
}

// decodePublication returns the content of a publication, nil if the publication is only named.
func decodePublication(p *wire.Publication) ([]byte, error) {
	if len(p.Compressed) == 0 {
		return p.Content, nil
	}
	r := flate.NewReader(bytes.NewReader(p.Compressed))
	content, err := io.ReadAll(io.LimitReader(r, maxPublicationBytes+1))
	if err != nil {
		return nil, eris.Wrapf(err, "decompress publication %d", p.Revision)
	}
	if len(content) > maxPublicationBytes {
		return nil, eris.Errorf("publication %d has more than %d bytes", p.Revision, maxPublicationBytes)
	}
	return content, nil
}

// publicationOffers holds the publications that coordinators have named and that may be adopted.
type publicationOffers struct {
	// revisions holds the highest revision that each coordinator named, by its address.
	revisions map[string]uint64
	// unusable is the highest revision that was fetched and could not be put in force.
	unusable uint64
	// fetching is set while runFetches runs.
	fetching bool
}

// newest returns the highest revision on offer and the coordinators that hold it.
func (o *publicationOffers) newest() (revision uint64, holders []string) {
	for address, r := range o.revisions {
		if r > revision {
			revision, holders = r, nil
		}
		if r == revision {
			holders = append(holders, address)
		}
	}
	return revision, holders
}

// adopt passes a publication on to the sink. If holder, a coordinator, only named it, it is fetched
// in the background; log is the StoredLog that contains it, nil for a publication in force.
func (c *Client) adopt(ctx context.Context, holder string, p *wire.Publication, log *wire.StoredLog) {
	if p.Revision <= c.sink.Revision() {
		return
	}
	content, err := decodePublication(p)
	switch {
	case err != nil:
		c.log.Error("failed to read a publication", "revision", p.Revision, "coordinator", holder, "error", err)
	case len(content) > 0:
		c.sink.HandlePublication(p.Revision, content)
	case log != nil:
		go c.fetchStored(ctx, holder, log)
	default:
		c.mu.Lock()
		defer c.mu.Unlock()
		c.offers.revisions[holder] = max(c.offers.revisions[holder], p.Revision)
		if !c.offers.fetching {
			c.offers.fetching = true
			go c.runFetches(ctx)
		}
	}
}

// runFetches fetches the publications on offer until the newest one is in force.
func (c *Client) runFetches(ctx context.Context) {
	waitedFor := uint64(0)
	for {
		revision, holders, hasPreferred := c.nextFetch(ctx)
		if revision == 0 {
			return
		}
		delay := time.Duration(0)
		switch {
		case !hasPreferred && waitedFor != revision:
			waitedFor, delay = revision, preferredHolderWait
		case !c.fetchFrom(ctx, revision, holders):
			delay = fetchRetryDelay
		}
		select {
		case <-ctx.Done():
		case <-time.After(delay):
		}
	}
}

// nextFetch returns the newest revision on offer and its holders, in the order of preference of this
// gateway, and whether the coordinator that it prefers to all others is among them. It returns 0 and
// ends the fetches if there is no newer revision than that in force.
func (c *Client) nextFetch(ctx context.Context) (revision uint64, holders []string, hasPreferred bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	revision, holders = c.offers.newest()
	if revision <= max(c.sink.Revision(), c.offers.unusable) || ctx.Err() != nil {
		c.offers.fetching = false
		return 0, nil, false
	}
	slices.SortFunc(holders, func(a, b string) int {
		if c.isPreferredTo(a, b) {
			return -1
		}
		return 1
	})
	for address, s := range c.roster.coordinators {
		if s.connected && c.isPreferredTo(address, holders[0]) {
			return revision, holders, false
		}
	}
	return revision, holders, true
}

// isPreferredTo orders coordinators by a hash, so that the gateways spread their fetches.
func (c *Client) isPreferredTo(address, other string) bool {
	rank := func(address string) uint64 {
		h := fnv.New64a()
		_, _ = h.Write([]byte(c.instance + " " + address))
		return h.Sum64()
	}
	return rank(address) < rank(other)
}

// fetchFrom fetches a revision from the first of its holders that responds. It reports whether one
// did.
func (c *Client) fetchFrom(ctx context.Context, revision uint64, holders []string) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	startedAt := time.Now()
	results := make(chan bool, len(holders))
	pending := 0
	for _, holder := range holders {
		pending++
		go func() { results <- c.fetch(ctx, holder, &wire.FetchPublicationRequest{Revision: revision}, startedAt) }()
		hedge := time.NewTimer(fetchHedgeDelay)
		select {
		case <-ctx.Done():
		case <-hedge.C:
		case fetched := <-results:
			pending--
			if fetched {
				hedge.Stop()
				return true
			}
		}
		hedge.Stop()
	}
	for ; pending > 0; pending-- {
		if <-results {
			return true
		}
	}
	return false
}

// fetchStored fetches the publication of the stored log of a coordinator. If that fails, the log is
// recorded again with the next stream of the coordinator.
func (c *Client) fetchStored(ctx context.Context, holder string, log *wire.StoredLog) {
	request := &wire.FetchPublicationRequest{Revision: log.Publication.Revision, Stored: true, LastTerm: log.LastTerm, LastIndex: log.LastIndex}
	c.fetch(ctx, holder, request, time.Now())
}

// fetch fetches a publication of at least the requested revision from a coordinator and passes it on to
// the sink. It reports whether that succeeded.
func (c *Client) fetch(ctx context.Context, holder string, request *wire.FetchPublicationRequest, startedAt time.Time) bool {
	revision, stored := request.Revision, request.Stored
	p, err := rpc.Call(ctx, c.dialer, holder, fetchTimeout,
		func(ctx context.Context, conn drpc.Conn) (*wire.Publication, error) {
			return wire.NewDRPCCoordinatorClient(conn).FetchPublication(ctx, request)
		})
	var content []byte
	if err == nil {
		content, err = decodePublication(p)
	}
	if err == nil && (p.Revision < revision || len(content) == 0) {
		err = eris.Errorf("the coordinator has revision %d", p.Revision)
	}
	if err != nil {
		if ctx.Err() == nil {
			c.log.Warn("failed to fetch a publication", "revision", revision, "coordinator", holder, "stored", stored, "error", err)
		}
		return false
	}
	c.log.Info("publication fetched", "revision", p.Revision, "coordinator", holder, "stored", stored, "bytes", len(content),
		"compressed_bytes", len(p.Compressed), "after_ms", time.Since(startedAt).Milliseconds())
	c.sink.HandlePublication(p.Revision, content)
	if c.sink.Revision() < p.Revision {
		c.log.Warn("the publication is not in force; waiting for a newer one", "revision", p.Revision)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.offers.unusable = max(c.offers.unusable, p.Revision)
	}
	return true
}
