package slopes

import (
	"os"
	"runtime"
	"strconv"
	"strings"
	"syscall"
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

// The places of figures after the program's name in /proc/PID/stat.
const (
	fieldUser     = 11
	fieldSystem   = 12
	fieldResident = 21
)

// add reads a process's usage from /proc and adds it.
func (u *usage) add(pid int) error {
	stat, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	if err != nil {
		return failure.Wrap(err, failure.KindInternal, "usage of process %d", pid)
	}
	one, ok := parseStat(string(stat))
	if !ok {
		return failure.New(failure.KindInternal, "usage of process %d cannot be read", pid)
	}
	u.cpu += one.cpu
	u.resident += one.resident
	return nil
}

func parseStat(stat string) (usage, bool) {
	// The name may hold spaces and brackets; the last bracket ends it.
	end := strings.LastIndex(stat, ") ")
	if end < 0 {
		return usage{}, false
	}
	fields := strings.Fields(stat[end+2:])
	if len(fields) <= fieldResident {
		return usage{}, false
	}
	user, errUser := strconv.ParseInt(fields[fieldUser], 10, 64)
	system, errSystem := strconv.ParseInt(fields[fieldSystem], 10, 64)
	pages, errPages := strconv.ParseInt(fields[fieldResident], 10, 64)
	ok := errUser == nil && errSystem == nil && errPages == nil
	return usage{cpu: time.Duration(user+system) * clockTick, resident: pages * int64(os.Getpagesize())}, ok
}

// ownCPU is the processor time of this process.
func ownCPU() time.Duration {
	var u syscall.Rusage
	// It fails only for a wrong argument.
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// ownHeap is this process's heap in use after a collection, in bytes.
func ownHeap() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// cpuOf gives the mean processor time of count calls.
func cpuOf(count int, call func()) time.Duration {
	before := ownCPU()
	for range count {
		call()
	}
	return (ownCPU() - before) / time.Duration(count)
}

func megabytes(n int64) float64 { return float64(n) / (1 << 20) }

// share is processor time as a percentage of one core.
func share(cpu, over time.Duration) float64 { return 100 * cpu.Seconds() / over.Seconds() }
