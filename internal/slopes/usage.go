package slopes

import (
	"runtime"
	"syscall"
	"time"
)

// processCPU returns the processor time of this process.
func processCPU() time.Duration {
	var u syscall.Rusage
	// Getrusage fails only for an invalid argument.
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// heapInUse returns this process's heap in use after a garbage collection, in
// bytes.
func heapInUse() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// meanCPU returns the mean processor time of count calls.
func meanCPU(count int, call func()) time.Duration {
	before := processCPU()
	for range count {
		call()
	}
	return (processCPU() - before) / time.Duration(count)
}

func megabytes(n int64) float64 { return float64(n) / (1 << 20) }

// percentOfCore returns processor time as a percentage of one core.
func percentOfCore(cpu, elapsed time.Duration) float64 {
	return 100 * cpu.Seconds() / elapsed.Seconds()
}
