package slopes

import (
	"time"

	"filbertdeck/internal/fleet"
	"filbertdeck/internal/usage"
)

// resourceUse is the resource use of the processes of all hosts during a period.
type resourceUse struct {
	duration                 time.Duration
	control, entry           usage.Usage
	polls, payload, segments float64
	// counters holds the sums of the control processes' metrics: the increase of
	// counters, and the values of other metrics at the end.
	counters map[string]float64
}

// measureUse runs action and returns the resource use during that time; memory is
// measured at the end.
func measureUse(f *fleet.Fleet, targets *fakeTargets, action func() error) (resourceUse, error) {
	before, err := totalUse(f, targets)
	if err != nil {
		return resourceUse{}, err
	}
	started := time.Now()
	if err := action(); err != nil {
		return resourceUse{}, err
	}
	use, err := totalUse(f, targets)
	if err != nil {
		return resourceUse{}, err
	}
	use.duration = time.Since(started)
	use.control.CPU -= before.control.CPU
	use.entry.CPU -= before.entry.CPU
	use.polls -= before.polls
	use.payload -= before.payload
	use.segments -= before.segments
	for _, name := range []string{"gossip.bytes_sent", "gossip.bytes_received", "configwatch.calls"} {
		use.counters[name] -= before.counters[name]
	}
	return use, nil
}

func totalUse(f *fleet.Fleet, targets *fakeTargets) (resourceUse, error) {
	payload, segments := targets.traffic.sample()
	use := resourceUse{
		counters: map[string]float64{}, polls: float64(targets.polls.Load()),
		payload: float64(payload), segments: float64(segments),
	}
	for _, h := range f.Hosts {
		if err := addUsage(&use.control, h.ControlProcess.PID()); err != nil {
			return use, err
		}
		if err := addUsage(&use.entry, h.EntryProcess.PID()); err != nil {
			return use, err
		}
		var metrics map[string]struct{ Count, Value float64 }
		if err := f.GetJSON("http://"+h.ControlAdminAddress+"/metrics", &metrics); err != nil {
			return use, err
		}
		for name, m := range metrics {
			use.counters[name] += m.Count + m.Value
		}
	}
	return use, nil
}

// addUsage adds a process's usage to a sum.
func addUsage(sum *usage.Usage, pid int) error {
	processUsage, err := usage.ForProcess(pid)
	if err != nil {
		return err
	}
	*sum = sum.Add(processUsage)
	return nil
}
