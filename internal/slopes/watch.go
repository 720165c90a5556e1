package slopes

import (
	"time"

	"filbertdeck/internal/fleet"
	"filbertdeck/internal/usage"
)

// seen is what the processes of all hosts used over a span.
type seen struct {
	over                     time.Duration
	control, entry           usage.Usage
	polls, payload, segments float64
	// counters are the control processes' together: counts as they rose, other
	// values as they stood at the end.
	counters map[string]float64
}

// watch runs during and gives what was used meanwhile; memory is as it is
// at the end.
func watch(f *fleet.Fleet, loads *loadServers, during func() error) (seen, error) {
	before, err := total(f, loads)
	if err != nil {
		return seen{}, err
	}
	begun := time.Now()
	if err := during(); err != nil {
		return seen{}, err
	}
	s, err := total(f, loads)
	if err != nil {
		return seen{}, err
	}
	s.over = time.Since(begun)
	s.control.CPU -= before.control.CPU
	s.entry.CPU -= before.entry.CPU
	s.polls -= before.polls
	s.payload -= before.payload
	s.segments -= before.segments
	for _, name := range []string{"gossip.bytes_sent", "gossip.bytes_received", "configwatch.calls"} {
		s.counters[name] -= before.counters[name]
	}
	return s, nil
}

func total(f *fleet.Fleet, loads *loadServers) (seen, error) {
	payload, segments := loads.wire.sample()
	s := seen{
		counters: map[string]float64{}, polls: float64(loads.polls.Load()),
		payload: float64(payload), segments: float64(segments),
	}
	for _, h := range f.Hosts {
		if err := addUsage(&s.control, h.ControlProcess.PID()); err != nil {
			return s, err
		}
		if err := addUsage(&s.entry, h.EntryProcess.PID()); err != nil {
			return s, err
		}
		var metrics map[string]struct{ Count, Value float64 }
		if err := f.GetJSON("http://"+h.ControlAdminAddress+"/metrics", &metrics); err != nil {
			return s, err
		}
		for name, m := range metrics {
			s.counters[name] += m.Count + m.Value
		}
	}
	return s, nil
}

// addUsage adds a process's usage to a sum.
func addUsage(sum *usage.Usage, pid int) error {
	one, err := usage.ForProcess(pid)
	if err != nil {
		return err
	}
	*sum = sum.Add(one)
	return nil
}
