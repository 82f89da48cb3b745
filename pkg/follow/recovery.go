package follow

import (
	"slices"

	"github.com/geraniumpitch/geraniumpitch/pkg/wire"
)

// recovery determines the publication in force while there is no leader. After a
// simultaneous failure of all processes, callers reconnect before the coordinators have
// elected a leader. The rule is that of an election: the most recent log among the disks of
// a majority has every accepted publication, and it names the disks of the group. A disk that
// was replaced while its coordinator was offline does not count.
type recovery struct {
	// logs holds the log of each coordinator, by its address.
	logs map[string]*wire.StoredLog
}

// record records the log of a coordinator. Once the logs of a majority of the disks of the
// group are recorded, record returns the newest publication, and nil before that.
func (r *recovery) record(address string, log *wire.StoredLog) *wire.Publication {
	if r.logs == nil {
		r.logs = map[string]*wire.StoredLog{}
	}
	r.logs[address] = log
	latest := log
	for _, l := range r.logs {
		if l.LastTerm > latest.LastTerm || l.LastTerm == latest.LastTerm && l.LastIndex > latest.LastIndex {
			latest = l
		}
	}
	count := 0
	for _, l := range r.logs {
		if slices.Contains(latest.Disks, l.Disk) {
			count++
		}
	}
	if 2*count <= len(latest.Disks) {
		return nil
	}
	return latest.Publication
}

// holderOf returns the address of the coordinator whose log has a publication that record returned.
func (r *recovery) holderOf(p *wire.Publication) string {
	for address, l := range r.logs {
		if l.Publication == p {
			return address
		}
	}
	return ""
}

// remove removes the log of a coordinator whose stream ended: it may grow without notice to
// this gateway.
func (r *recovery) remove(address string) { delete(r.logs, address) }
