package model_test

import (
	"fmt"
	"testing"
	"time"

	"filbertdeck/internal/standin/model"
)

// replayScript interprets each pair of bytes as a call and returns a log of the
// events.
func replayScript(script []byte) (string, error) {
	e := newTestEngine(func(c *model.Config) { c.WarmUpTime, c.OverloadStallTime, c.CacheLossRate = 300*ms, 200*ms, 0.3 })
	now, log, nextID := time.Duration(0), "", model.JobID(1)
	produced := map[model.JobID]int{}
	for i := 0; i+1 < len(script); i += 2 {
		arg := int(script[i+1])
		now += time.Duration(arg%7) * 5 * ms
		switch script[i] % 12 {
		case 7:
			e.Cancel(now, model.JobID(arg)%nextID)
		case 8:
			e.ResetWarmUp(now)
		case 9:
			e.Freeze(now, time.Duration(arg)*ms)
			if arg%4 == 0 {
				e.Unfreeze(now + time.Duration(arg/2)*ms)
				now = e.Now()
			}
		case 10:
			e.SetSlowFactor(now, float64(1+arg%4))
		case 11:
			e.Crash(now)
			e.Restart(now)
			produced = map[model.JobID]int{}
		default:
			job := newJob(nextID, arg%3, arg%40, 1+arg%50)
			job.Prefix = []uint64{uint64(arg % 5), uint64(arg % 9)}
			nextID++
			_ = e.Submit(now, job)
		}
		for _, event := range e.Advance(now) {
			log += fmt.Sprintf("%v ", event)
			if event.Kind != model.EventToken {
				continue
			}
			if last, seen := produced[event.ID]; seen && event.ProducedTokens != last+1 {
				return log, fmt.Errorf("job %d: token %d was produced after token %d", event.ID, event.ProducedTokens, last)
			}
			produced[event.ID] = event.ProducedTokens
		}
		if err := e.CheckInvariants(); err != nil {
			return log, err
		}
	}
	traceEvents(e)
	if e.JobCount() != 0 {
		return log, fmt.Errorf("%d jobs never finish", e.JobCount())
	}
	return log, e.CheckInvariants()
}

// FuzzEngine replays random calls. It checks the invariants, that no job is lost
// or starved, and that a second replay gives the same events.
func FuzzEngine(f *testing.F) {
	f.Add([]byte{0, 1, 0, 45, 0, 99, 7, 1, 8, 3, 0, 7, 9, 200, 10, 3, 11, 0, 0, 44})
	f.Add([]byte{1, 39, 1, 79, 1, 119, 1, 159, 1, 199, 1, 239, 1, 38, 1, 78, 1, 118})
	f.Fuzz(func(t *testing.T, script []byte) {
		if len(script) > 400 {
			return
		}
		first, err := replayScript(script)
		if err != nil {
			t.Fatal(err)
		}
		if again, _ := replayScript(script); again != first {
			t.Fatal("a second replay of the same calls gave other events")
		}
	})
}

// BenchmarkStep measures a step with 200 decoding sequences.
func BenchmarkStep(b *testing.B) {
	e := model.New(model.Config{MemoryTokens: 1 << 40, MaxBatch: 256})
	for i := range 200 {
		if err := e.Submit(0, newJob(model.JobID(i+1), 0, 10, 1<<30)); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		e.Step()
	}
}
