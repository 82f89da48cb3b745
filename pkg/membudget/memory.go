package membudget

import (
	"math"
	"os"
	"path/filepath"
	"runtime/debug"
	"strconv"
	"strings"
	"syscall"
)

const (
	// budgetShare is the share of a process's memory for bytes that it holds for callers. With GOGC at 50 the
	// heap grows to one and a half times what is in use, and the process itself needs 25 MB and more: 0.2
	// leaves a process of 144 MB about half of its memory for garbage and the buffers of connections.
	budgetShare = 0.2
	// connectionShare is the share of a process's memory for connections, each of which takes connectionBytes: 16 KB
	// were measured for one without a request and 21 KB for one in a handler, besides parsed headers.
	connectionShare = 0.2
	connectionBytes = 24 << 10
	// descriptorShare is the share of a process's file descriptors for connections of callers. Each request
	// uses another one at its server, and streams that are copied a third.
	descriptorShare = 0.4
	// unknownMemory is assumed if neither the settings nor the environment name a limit.
	unknownMemory = 1 << 30
	// minBudget is the smallest budget, one body of the usual limit of 4 MiB and some ordinary ones.
	minBudget = 6 << 20
	// minConnections is the smallest bound of connections.
	minConnections = 16
)

// Limits are the bounds of a process that follow from its machine.
type Limits struct {
	// Bytes is the budget for bytes that are held for callers.
	Bytes int64
	// Connections bounds the connections of callers, each of which has at most one request at a time.
	Connections int
}

// LimitsOf returns the bounds for a process with the given memory and number of file descriptors.
func LimitsOf(memory int64, descriptors int) Limits {
	connections := min(float64(descriptors)*descriptorShare, float64(memory)*connectionShare/connectionBytes)
	return Limits{
		Bytes:       max(minBudget, int64(float64(memory)*budgetShare)),
		Connections: max(minConnections, int(connections)),
	}
}

// Memory returns the memory of the process in bytes: the setting in megabytes if it is not 0, else the limit of the
// control group, else GOMEMLIMIT.
func Memory(megabytes int) int64 {
	if megabytes > 0 {
		return int64(megabytes) << 20
	}
	if limit := cgroupLimit("/sys/fs/cgroup", "/proc/self/cgroup"); limit > 0 {
		return limit
	}
	if limit := debug.SetMemoryLimit(-1); limit < math.MaxInt64 {
		return limit
	}
	return unknownMemory
}

// Descriptors returns the number of files that the process may open.
func Descriptors() int {
	const assumed = 1024
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return assumed
	}
	return int(min(limit.Cur, math.MaxInt32))
}

// cgroupLimit returns the smallest memory limit of the process's control group and its parents, 0 if there is none.
// root is where the hierarchy is mounted, and membership the file that names the group.
func cgroupLimit(root, membership string) int64 {
	content, err := os.ReadFile(membership)
	if err != nil {
		return 0
	}
	var smallest int64
	for line := range strings.Lines(string(content)) {
		fields := strings.SplitN(strings.TrimSpace(line), ":", 3)
		if len(fields) != 3 {
			continue
		}
		mount, file := root, "memory.max"
		if fields[1] != "" {
			if fields[1] != "memory" {
				continue
			}
			mount, file = filepath.Join(root, "memory"), "memory.limit_in_bytes"
		}
		for group := filepath.Clean("/" + fields[2]); ; group = filepath.Dir(group) {
			if limit := readLimit(filepath.Join(mount, group, file)); limit > 0 && (smallest == 0 || limit < smallest) {
				smallest = limit
			}
			if group == "/" {
				break
			}
		}
	}
	return smallest
}

// readLimit returns the limit in a file of a control group, 0 if it names none.
func readLimit(file string) int64 {
	// Version 1 writes a number close to the largest one for no limit.
	const noLimit = 1 << 50
	content, err := os.ReadFile(file)
	if err != nil {
		return 0
	}
	limit, err := strconv.ParseInt(strings.TrimSpace(string(content)), 10, 64)
	if err != nil || limit <= 0 || limit > noLimit {
		return 0
	}
	return limit
}
