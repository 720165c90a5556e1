package slopes

import (
	"runtime"
	"syscall"
	"time"
)

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
