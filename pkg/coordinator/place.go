package coordinator

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/geraniumpitch/geraniumpitch/pkg/consensus"
)

// placeFile keeps the slot of a disk; it is written before the log.
const placeFile = "place.json"

// place is the slot of a disk and the slots of its group. Slots are named after
// the peer addresses of the founding members and never change; the machine that
// holds one may.
type place struct {
	Slot  string   `json:"slot"`
	Slots []string `json:"slots"`
}

// diskAt returns the disk identity of a log at a peer address.
func diskAt(disk consensus.DiskID, address string) consensus.DiskID {
	return disk + "@" + consensus.DiskID(address)
}

// addressOf returns the peer address in a disk identity.
func addressOf(disk consensus.DiskID) string {
	_, address, _ := strings.Cut(string(disk), "@")
	return address
}

func readPlace(folder string) (place, error) {
	var p place
	data, err := os.ReadFile(filepath.Join(folder, placeFile))
	if errors.Is(err, os.ErrNotExist) {
		return p, nil
	}
	if err != nil {
		return p, eris.Wrap(err, "read the slot")
	}
	if json.Unmarshal(data, &p) != nil {
		// A torn file was never synced, so no log followed it.
		return place{}, nil
	}
	return p, nil
}

// writePlace makes the slot durable.
func writePlace(folder string, p place) error {
	data, err := json.Marshal(p)
	if err != nil {
		return eris.Wrap(err, "encode the slot")
	}
	f, err := os.Create(filepath.Join(folder, placeFile))
	if err != nil {
		return eris.Wrap(err, "create the slot file")
	}
	_, err = f.Write(data)
	if err == nil {
		err = f.Sync()
	}
	err = errors.Join(err, f.Close())
	if err != nil {
		return eris.Wrap(err, "write the slot")
	}
	d, err := os.Open(folder)
	if err != nil {
		return eris.Wrap(err, "open the data folder")
	}
	return eris.Wrap(errors.Join(d.Sync(), d.Close()), "sync the data folder")
}

// emptyFolder removes what a former slot left, the slot file first: without it
// the rest is not used.
func emptyFolder(folder string) error {
	err := os.Remove(filepath.Join(folder, placeFile))
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return eris.Wrap(err, "remove the slot")
	}
	entries, err := os.ReadDir(folder)
	if err != nil {
		return eris.Wrap(err, "list the data folder")
	}
	for _, e := range entries {
		if err := os.RemoveAll(filepath.Join(folder, e.Name())); err != nil {
			return eris.Wrap(err, "empty the data folder")
		}
	}
	return nil
}
