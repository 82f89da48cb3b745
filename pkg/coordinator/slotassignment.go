package coordinator

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/geraniumpitch/geraniumpitch/pkg/consensus"
)

// assignmentFile stores the slot of a disk. It is written before the log.
const assignmentFile = "place.json"

// formerMemberFile marks the data folder of an instance that lost its slot. It outlives the data of
// the slot.
const formerMemberFile = "former-member"

// slotAssignment is the slot of a disk and all slots that its group had when it was assigned.
// The slots of the founding members are named after their peer addresses, later ones are
// numbered (see newSlotName). The instance that holds a slot may change.
type slotAssignment struct {
	Slot  string   `json:"slot"`
	Slots []string `json:"slots"`
	// Founder is set if the instance took the slot itself as the deployment started for the first time.
	Founder bool `json:"founder,omitempty"`
}

// newSlotName returns the name of the slot by which the control group grows to a size.
func newSlotName(size int) string { return "slot-" + strconv.Itoa(size) }

// diskIDAt returns the disk identity of a log on an instance with this peer address. The
// member table thereby tells the address of each holder.
func diskIDAt(disk consensus.DiskID, address string) consensus.DiskID {
	return disk + "@" + consensus.DiskID(address)
}

// peerAddressOf returns the peer address in a disk identity.
func peerAddressOf(disk consensus.DiskID) string {
	_, address, _ := strings.Cut(string(disk), "@")
	return address
}

// readAssignment returns the stored slot assignment, which is empty if there is none.
func readAssignment(folder string) (slotAssignment, error) {
	var assignment slotAssignment
	data, err := os.ReadFile(filepath.Join(folder, assignmentFile))
	if errors.Is(err, os.ErrNotExist) {
		return assignment, nil
	}
	if err != nil {
		return assignment, eris.Wrap(err, "read the slot assignment")
	}
	if json.Unmarshal(data, &assignment) != nil {
		// A partly written file was never synced, so no log was written after it.
		return slotAssignment{}, nil
	}
	return assignment, nil
}

// writeAssignment stores the slot assignment durably.
func writeAssignment(folder string, assignment slotAssignment) error {
	data, err := json.Marshal(assignment)
	if err != nil {
		return eris.Wrap(err, "encode the slot assignment")
	}
	return writeDurably(folder, assignmentFile, data)
}

// writeDurably writes a file of the data folder and syncs both.
func writeDurably(folder, name string, data []byte) error {
	f, err := os.Create(filepath.Join(folder, name))
	if err != nil {
		return eris.Wrapf(err, "create %s", name)
	}
	_, err = f.Write(data)
	if err == nil {
		err = f.Sync()
	}
	if err = errors.Join(err, f.Close()); err != nil {
		return eris.Wrapf(err, "write %s", name)
	}
	d, err := os.Open(folder)
	if err != nil {
		return eris.Wrap(err, "open the data folder")
	}
	return eris.Wrap(errors.Join(d.Sync(), d.Close()), "sync the data folder")
}

// retireFolder removes the data of a slot that was reassigned to another disk.
func retireFolder(folder string) error {
	if err := writeDurably(folder, formerMemberFile, nil); err != nil {
		return err
	}
	return clearFolder(folder)
}

// isFormerMember reports whether a data folder was retired: its instance must not found a group, as
// there is one.
func isFormerMember(folder string) (bool, error) {
	_, err := os.Stat(filepath.Join(folder, formerMemberFile))
	if errors.Is(err, os.ErrNotExist) {
		return false, nil
	}
	return err == nil, eris.Wrap(err, "stat the file of a former member")
}

// clearFolder removes the data of a former slot. The assignment file is removed first,
// because the other files are not used without it. The soft state stays: it belongs to the coordinator, not to the slot.
func clearFolder(folder string) error {
	err := os.Remove(filepath.Join(folder, assignmentFile))
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return eris.Wrap(err, "remove the slot assignment")
	}
	entries, err := os.ReadDir(folder)
	if err != nil {
		return eris.Wrap(err, "list the data folder")
	}
	for _, e := range entries {
		if e.Name() == formerMemberFile || slices.Contains(softStateFiles[:], e.Name()) {
			continue
		}
		if err := os.RemoveAll(filepath.Join(folder, e.Name())); err != nil {
			return eris.Wrap(err, "clear the data folder")
		}
	}
	return nil
}
