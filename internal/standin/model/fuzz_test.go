package model_test

import (
	"fmt"
	"testing"
	"time"

	"filbertdeck/internal/standin/model"
)

// play turns bytes into calls, two bytes a call, and returns what happened.
func play(script []byte) (string, error) {
	e := small(func(c *model.Config) { c.WarmUpTime, c.StallTime, c.CacheLoss = 300*ms, 200*ms, 0.3 })
	now, log, next := time.Duration(0), "", model.JobID(1)
	produced := map[model.JobID]int{}
	for i := 0; i+1 < len(script); i += 2 {
		arg := int(script[i+1])
		now += time.Duration(arg%7) * 5 * ms
		switch script[i] % 12 {
		case 7:
			e.Cancel(now, model.JobID(arg)%next)
		case 8:
			e.ResetWarmUp(now)
		case 9:
			e.Freeze(now, time.Duration(arg)*ms)
			if arg%4 == 0 {
				e.Thaw(now + time.Duration(arg/2)*ms)
				now = e.Now()
			}
		case 10:
			e.SetSlowFactor(now, float64(1+arg%4))
		case 11:
			e.Crash(now)
			e.Restart(now)
			produced = map[model.JobID]int{}
		default:
			j := job(next, arg%3, arg%40, 1+arg%50)
			j.Prefix = []uint64{uint64(arg % 5), uint64(arg % 9)}
			next++
			_ = e.Submit(now, j)
		}
		for _, event := range e.Advance(now) {
			log += fmt.Sprintf("%v ", event)
			if event.Kind != model.EventToken {
				continue
			}
			if last, seen := produced[event.ID]; seen && event.ProducedTokens != last+1 {
				return log, fmt.Errorf("job %d: token %d follows %d", event.ID, event.ProducedTokens, last)
			}
			produced[event.ID] = event.ProducedTokens
		}
		if err := e.Verify(); err != nil {
			return log, err
		}
	}
	trace(e)
	if e.Jobs() != 0 {
		return log, fmt.Errorf("%d jobs never end", e.Jobs())
	}
	return log, e.Verify()
}

// FuzzEngine plays random calls and checks the invariants, that no job is lost
// or starved, and that the same calls do the same.
func FuzzEngine(f *testing.F) {
	f.Add([]byte{0, 1, 0, 45, 0, 99, 7, 1, 8, 3, 0, 7, 9, 200, 10, 3, 11, 0, 0, 44})
	f.Add([]byte{1, 39, 1, 79, 1, 119, 1, 159, 1, 199, 1, 239, 1, 38, 1, 78, 1, 118})
	f.Fuzz(func(t *testing.T, script []byte) {
		if len(script) > 400 {
			return
		}
		first, err := play(script)
		if err != nil {
			t.Fatal(err)
		}
		if again, _ := play(script); again != first {
			t.Fatal("the same calls did something else")
		}
	})
}

// BenchmarkStep measures a step of a full batch.
func BenchmarkStep(b *testing.B) {
	e := model.New(model.Config{MemoryTokens: 1 << 40, MaxBatch: 256})
	for i := range 200 {
		if err := e.Submit(0, job(model.JobID(i+1), 0, 10, 1<<30)); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		e.Step()
	}
}
