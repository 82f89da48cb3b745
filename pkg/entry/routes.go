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

// listModels sends the generation services that the organisation may call.
func (s *Service) listModels(w http.ResponseWriter, _ *http.Request, c caller) error {
	models := modelList{Object: "list", Data: []modelItem{}}
	for _, name := range slices.Sorted(maps.Keys(c.document.Services)) {
		if _, ok := c.allowedService(name, document.KindGeneration); ok {
			models.Data = append(models.Data, modelItem{ID: name, Object: "model"})
		}
	}
	return s.writeJSON(w, http.StatusOK, models)
}

// maxKeysPerRequest limits the keys minted by one request.
const maxKeysPerRequest = 1000

// mintKeys sends new one-time keys.
func (s *Service) mintKeys(w http.ResponseWriter, r *http.Request, c caller) error {
	count := 1
	if value := r.URL.Query().Get("count"); value != "" {
		n, err := strconv.Atoi(value)
		if err != nil || n < 1 || n > maxKeysPerRequest {
			return invalidField("count", "bad_value", "must be from 1 to "+strconv.Itoa(maxKeysPerRequest))
		}
		count = n
	}
	return s.writeJSON(w, http.StatusOK, map[string][]string{"keys": s.Once.Mint(c.organisation, count)})
}

// Limits of announcements of backend servers. maxBackendIDBytes also limits the name of
// the data centre, and maxAnnouncements the announcements in one request.
const (
	maxAnnouncementBytes = 256 << 10
	maxBackendIDBytes    = 128
	maxPoolsPerBackend   = 64
	maxSlots             = 1 << 20
	maxAnnouncements     = 256
)

// announcement is the state that a backend server reports about itself.
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

// validate returns an error that names the first invalid field.
func (a announcement) validate() error {
	address, err := netip.ParseAddrPort(a.Address)
	switch {
	case !isValidID(a.ID) || len(a.ID) > maxBackendIDBytes:
		return invalidField("id", "bad_value", "must have 1 to "+strconv.Itoa(maxBackendIDBytes)+" visible ASCII characters")
	case err != nil || address.Port() == 0:
		return invalidField("address", "bad_value", "must be an IP address with a port")
	case a.DataCentre == "" || len(a.DataCentre) > maxBackendIDBytes:
		return invalidField("data_centre", "bad_value", "must be set")
	case len(a.Pools) > maxPoolsPerBackend || slices.Contains(a.Pools, ""):
		return invalidField("pools", "bad_value", "must name at most "+strconv.Itoa(maxPoolsPerBackend)+" pools")
	case a.Slots < 1 || a.Slots > maxSlots:
		return invalidField("slots", "bad_value", "must be from 1 to "+strconv.Itoa(maxSlots))
	}
	return nil
}

// announceBackends registers or updates the announced backend servers.
func (s *Service) announceBackends(w http.ResponseWriter, r *http.Request) error {
	body, err := s.readBody(w, r, maxAnnouncementBytes)
	if err != nil {
		return err
	}
	announcements, err := decodeAnnouncements(body)
	if err != nil {
		return err
	}
	if err := s.Backends.Announce(r.Context(), announcements); err != nil {
		return err
	}
	return s.writeJSON(w, http.StatusOK, struct{}{})
}

// decodeAnnouncements decodes and validates one announcement or a list of them.
func decodeAnnouncements(body []byte) ([]*wire.BackendAnnouncement, error) {
	decoded := make([]announcement, 1)
	var target any = &decoded[0]
	if trimmed := bytes.TrimLeft(body, " \t\r\n"); len(trimmed) > 0 && trimmed[0] == '[' {
		target = &decoded
	}
	if err := decodeJSON(body, target); err != nil {
		return nil, err
	}
	if len(decoded) == 0 || len(decoded) > maxAnnouncements {
		return nil, invalidField("body", "bad_value", "must have 1 to "+strconv.Itoa(maxAnnouncements)+" announcements")
	}
	announcements := make([]*wire.BackendAnnouncement, len(decoded))
	for i, a := range decoded {
		if err := a.validate(); err != nil {
			return nil, err
		}
		announcements[i] = &wire.BackendAnnouncement{
			Id: a.ID, Address: a.Address, DataCentre: a.DataCentre, Pools: a.Pools, Slots: a.Slots,
			Running: a.Running, Queued: a.Queued, Incarnation: a.Incarnation, Sequence: a.Sequence,
		}
	}
	return announcements, nil
}

// handleLeave takes a backend server that shuts down out of service.
func (s *Service) handleLeave(w http.ResponseWriter, r *http.Request) error {
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
	if !isValidID(b.ID) || len(b.ID) > maxBackendIDBytes {
		return invalidField("id", "bad_value", "must be set")
	}
	if err := s.Backends.Leave(r.Context(), b.ID, b.Incarnation); err != nil {
		return err
	}
	return s.writeJSON(w, http.StatusOK, struct{}{})
}
