// Package usage reads the CPU time and memory of a process from Linux's /proc.
// Only the measurement tools use it.
package usage

import (
	"os"
	"strconv"
	"strings"
	"time"

	"filbertdeck/internal/failure"
)

// Usage is the resource usage of a process.
type Usage struct {
	// CPU is the user and system time since the process started.
	CPU time.Duration
	// ResidentBytes is the resident memory in bytes.
	ResidentBytes int64
}

// Add returns the sum of two usages.
func (u Usage) Add(v Usage) Usage {
	return Usage{CPU: u.CPU + v.CPU, ResidentBytes: u.ResidentBytes + v.ResidentBytes}
}

// clockTick is the unit of CPU times in /proc on Linux (1/USER_HZ).
const clockTick = 10 * time.Millisecond

// The indexes of fields after the program name in /proc/PID/stat.
const (
	fieldUserTime      = 11
	fieldSystemTime    = 12
	fieldResidentPages = 21
)

// ForProcess returns the usage of a process.
func ForProcess(pid int) (Usage, error) {
	stat, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	if err != nil {
		return Usage{}, failure.Wrap(err, failure.KindInternal, "cannot read the usage of process %d", pid)
	}
	u, ok := ParseStat(string(stat))
	if !ok {
		return Usage{}, failure.New(failure.KindInternal, "cannot parse the usage of process %d", pid)
	}
	return u, nil
}

// ParseStat parses the content of /proc/PID/stat.
func ParseStat(stat string) (Usage, bool) {
	// The program name may contain spaces and parentheses; the last closing
	// parenthesis ends it.
	end := strings.LastIndex(stat, ") ")
	if end < 0 {
		return Usage{}, false
	}
	fields := strings.Fields(stat[end+2:])
	if len(fields) <= fieldResidentPages {
		return Usage{}, false
	}
	user, errUser := strconv.ParseInt(fields[fieldUserTime], 10, 64)
	system, errSystem := strconv.ParseInt(fields[fieldSystemTime], 10, 64)
	pages, errPages := strconv.ParseInt(fields[fieldResidentPages], 10, 64)
	ok := errUser == nil && errSystem == nil && errPages == nil
	return Usage{CPU: time.Duration(user+system) * clockTick, ResidentBytes: pages * int64(os.Getpagesize())}, ok
}
