package follow

import (
	"slices"

	"github.com/geraniumpitch/geraniumpitch/pkg/wire"
)

// recovery determines the publication in force while there is no leader. After a
// simultaneous failure of all processes, callers reconnect before the coordinators have
// elected a leader. The rule is that of an election: the most recent log among the disks of
// a majority has every accepted publication, and it names the disks of the group. A disk that
// was replaced while its coordinator was offline does not count. That log may also end with a
// publication that was never accepted and that the next leader drops, so its newest publication
// is in force only if a member knows that it is committed; otherwise the leader decides.
type recovery struct {
	// logs holds the log of each coordinator, by its address.
	logs map[string]*wire.StoredLog
}

// record records the log of a coordinator. Once the logs of a majority of the disks of the
// group are recorded, record returns the most recent log and the address of its coordinator,
// and nil before that or if the publication of that log may not be committed.
func (r *recovery) record(address string, log *wire.StoredLog) (latest *wire.StoredLog, holder string) {
	if r.logs == nil {
		r.logs = map[string]*wire.StoredLog{}
	}
	r.logs[address] = log
	latest, holder = log, address
	commitIndex := uint64(0)
	for a, l := range r.logs {
		if l.LastTerm > latest.LastTerm || l.LastTerm == latest.LastTerm && l.LastIndex > latest.LastIndex {
			latest, holder = l, a
		}
		commitIndex = max(commitIndex, l.CommitIndex)
	}
	count := 0
	for _, l := range r.logs {
		if slices.Contains(latest.Disks, l.Disk) {
			count++
		}
	}
	if 2*count <= len(latest.Disks) || latest.PublicationIndex == 0 || latest.PublicationIndex > commitIndex {
		return nil, ""
	}
	return latest, holder
}

// remove removes the log of a coordinator whose stream ended: it may grow without notice to
// this gateway.
func (r *recovery) remove(address string) { delete(r.logs, address) }
