package entry

import (
	"bytes"
	"maps"
	"net/http"
	"net/netip"
	"slices"
	"strconv"

	"github.com/geraniumpitch/geraniumpitch/pkg/document"
	"github.com/geraniumpitch/geraniumpitch/pkg/wire"
)

type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID     string `json:"id"`
	Object string `json:"object"`
}

func (s *Service) models(w http.ResponseWriter, _ *http.Request, c caller) error {
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, name := range slices.Sorted(maps.Keys(c.document.Services)) {
		if _, ok := c.service(name, document.Generation); ok {
			list.Data = append(list.Data, modelItem{ID: name, Object: "model"})
		}
	}
	return s.writeJSON(w, http.StatusOK, list)
}

// maxKeysPerCall bounds the keys minted by one request.
const maxKeysPerCall = 1000

func (s *Service) mint(w http.ResponseWriter, r *http.Request, c caller) error {
	count := 1
	if text := r.URL.Query().Get("count"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > maxKeysPerCall {
			return badField("count", "bad_value", "must be from 1 to "+strconv.Itoa(maxKeysPerCall))
		}
		count = n
	}
	return s.writeJSON(w, http.StatusOK, map[string][]string{"keys": s.Once.Mint(c.organisation, count)})
}

const (
	maxAnnouncementBytes = 256 << 10
	maxBackendIDBytes    = 128
	maxPoolsPerBackend   = 64
	maxSlots             = 1 << 20
	maxAnnouncements     = 256
)

type announcement struct {
	ID          string   `json:"id"`
	Address     string   `json:"address"`
	DataCentre  string   `json:"data_centre"`
	Pools       []string `json:"pools"`
	Slots       uint32   `json:"slots"`
	Running     uint32   `json:"running"`
	Queued      uint32   `json:"queued"`
	Incarnation uint64   `json:"incarnation"`
	Sequence    uint64   `json:"sequence"`
}

func (a announcement) check() error {
	address, err := netip.ParseAddrPort(a.Address)
	switch {
	case !plainStreamID(a.ID) || len(a.ID) > maxBackendIDBytes:
		return badField("id", "bad_value", "must have 1 to "+strconv.Itoa(maxBackendIDBytes)+" visible ASCII characters")
	case err != nil || address.Port() == 0:
		return badField("address", "bad_value", "must be an IP address with a port")
	case a.DataCentre == "" || len(a.DataCentre) > maxBackendIDBytes:
		return badField("data_centre", "bad_value", "must be set")
	case len(a.Pools) > maxPoolsPerBackend || slices.Contains(a.Pools, ""):
		return badField("pools", "bad_value", "must name at most "+strconv.Itoa(maxPoolsPerBackend)+" pools")
	case a.Slots < 1 || a.Slots > maxSlots:
		return badField("slots", "bad_value", "must be from 1 to "+strconv.Itoa(maxSlots))
	}
	return nil
}

func (s *Service) announce(w http.ResponseWriter, r *http.Request) error {
	body, err := s.readBody(w, r, maxAnnouncementBytes)
	if err != nil {
		return err
	}
	list, err := decodeAnnouncements(body)
	if err != nil {
		return err
	}
	if err := s.Backends.Announce(r.Context(), list); err != nil {
		return err
	}
	return s.writeJSON(w, http.StatusOK, struct{}{})
}

// decodeAnnouncements takes one announcement or a list of them.
func decodeAnnouncements(body []byte) ([]*wire.BackendAnnouncement, error) {
	given := make([]announcement, 1)
	var into any = &given[0]
	if trimmed := bytes.TrimLeft(body, " \t\r\n"); len(trimmed) > 0 && trimmed[0] == '[' {
		into = &given
	}
	if err := decodeJSON(body, into); err != nil {
		return nil, err
	}
	if len(given) == 0 || len(given) > maxAnnouncements {
		return nil, badField("body", "bad_value", "must have 1 to "+strconv.Itoa(maxAnnouncements)+" announcements")
	}
	list := make([]*wire.BackendAnnouncement, len(given))
	for i, a := range given {
		if err := a.check(); err != nil {
			return nil, err
		}
		list[i] = &wire.BackendAnnouncement{
			Id: a.ID, Address: a.Address, DataCentre: a.DataCentre, Pools: a.Pools, Slots: a.Slots,
			Running: a.Running, Queued: a.Queued, Incarnation: a.Incarnation, Sequence: a.Sequence,
		}
	}
	return list, nil
}

func (s *Service) leave(w http.ResponseWriter, r *http.Request) error {
	body, err := s.readBody(w, r, maxAnnouncementBytes)
	if err != nil {
		return err
	}
	var b struct {
		ID          string `json:"id"`
		Incarnation uint64 `json:"incarnation"`
	}
	if err := decodeJSON(body, &b); err != nil {
		return err
	}
	if !plainStreamID(b.ID) || len(b.ID) > maxBackendIDBytes {
		return badField("id", "bad_value", "must be set")
	}
	if err := s.Backends.Leave(r.Context(), b.ID, b.Incarnation); err != nil {
		return err
	}
	return s.writeJSON(w, http.StatusOK, struct{}{})
}
