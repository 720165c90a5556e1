// Package usage reads what a process has used, as the Linux kernel counts it.
// The measuring tools use it; the system itself does not.
package usage

import (
	"os"
	"strconv"
	"strings"
	"time"

	"filbertdeck/internal/failure"
)

// Usage is what a process has used since its start.
type Usage struct {
	CPU time.Duration
	// ResidentBytes is memory in bytes.
	ResidentBytes int64
}

// Add sums the usage of two processes.
func (u Usage) Add(v Usage) Usage {
	return Usage{CPU: u.CPU + v.CPU, ResidentBytes: u.ResidentBytes + v.ResidentBytes}
}

// clockTick is the unit of processor times in /proc on Linux (USER_HZ).
const clockTick = 10 * time.Millisecond

// The places of figures after the program's name in /proc/PID/stat.
const (
	fieldUser     = 11
	fieldSystem   = 12
	fieldResident = 21
)

// ForProcess reads the usage of a process from /proc.
func ForProcess(pid int) (Usage, error) {
	stat, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	if err != nil {
		return Usage{}, failure.Wrap(err, failure.KindInternal, "usage of process %d", pid)
	}
	u, ok := ParseStat(string(stat))
	if !ok {
		return Usage{}, failure.New(failure.KindInternal, "usage of process %d cannot be read", pid)
	}
	return u, nil
}

// ParseStat reads the text of /proc/PID/stat.
func ParseStat(stat string) (Usage, bool) {
	// The name may hold spaces and brackets; the last bracket ends it.
	end := strings.LastIndex(stat, ") ")
	if end < 0 {
		return Usage{}, false
	}
	fields := strings.Fields(stat[end+2:])
	if len(fields) <= fieldResident {
		return Usage{}, false
	}
	user, errUser := strconv.ParseInt(fields[fieldUser], 10, 64)
	system, errSystem := strconv.ParseInt(fields[fieldSystem], 10, 64)
	pages, errPages := strconv.ParseInt(fields[fieldResident], 10, 64)
	ok := errUser == nil && errSystem == nil && errPages == nil
	return Usage{CPU: time.Duration(user+system) * clockTick, ResidentBytes: pages * int64(os.Getpagesize())}, ok
}
