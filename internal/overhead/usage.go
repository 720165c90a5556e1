package overhead

import (
	"os"
	"strconv"
	"strings"
	"time"

	"filbertdeck/internal/failure"
)

// usage is what a process has used, as the kernel counts it.
type usage struct {
	cpu time.Duration
	// resident is memory in bytes.
	resident int64
}

// clockTick is the unit of processor times in /proc on Linux (USER_HZ).
const clockTick = 10 * time.Millisecond

// The places of utime and stime after the program's name in /proc/PID/stat.
const (
	fieldUser   = 11
	fieldSystem = 12
)

// usageOf reads a process's usage from /proc.
func usageOf(pid int) (usage, error) {
	stat, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	if err != nil {
		return usage{}, failure.Wrap(err, failure.KindInternal, "usage of process %d", pid)
	}
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	if len(fields) <= fieldSystem {
		return usage{}, failure.New(failure.KindInternal, "usage of process %d cannot be read", pid)
	}
	user, _ := strconv.ParseInt(fields[fieldUser], 10, 64)
	system, _ := strconv.ParseInt(fields[fieldSystem], 10, 64)
	resident, err := residentOf(pid)
	return usage{cpu: time.Duration(user+system) * clockTick, resident: resident}, err
}

func residentOf(pid int) (int64, error) {
	status, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return 0, failure.Wrap(err, failure.KindInternal, "memory of process %d", pid)
	}
	for line := range strings.Lines(string(status)) {
		if rest, found := strings.CutPrefix(line, "VmRSS:"); found {
			kilobytes, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return kilobytes << 10, nil
		}
	}
	return 0, failure.New(failure.KindInternal, "memory of process %d cannot be read", pid)
}
