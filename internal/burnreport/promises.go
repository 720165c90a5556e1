package burnreport

import (
	"fmt"
	"sort"
	"strings"

	"filbertdeck/internal/adminapi"
)

// Verdict says what the evidence of a promise amounts to.
type Verdict string

// The verdicts. Evidence from counters can show that a promise was broken; it
// cannot prove that it was kept where nothing was counted.
const (
	Holds       Verdict = "no breach seen"
	Broken      Verdict = "BROKEN"
	NotObserved Verdict = "not observed"
	Incomplete  Verdict = "incomplete"
)

// Promise is one promise of the brief with its evidence.
type Promise struct {
	Text     string  `json:"promise"`
	Verdict  Verdict `json:"verdict"`
	Evidence string  `json:"evidence"`
}

// evidence is what the promises are judged by.
type evidence struct {
	total    adminapi.AccountingRow
	last     Sample
	first    Sample
	missing  int
	restarts int
}

// promises gives one line a promise, in the order of the users' page.
func promises(e evidence) []Promise {
	lines := []Promise{
		e.wholeAnswers(), e.coldTargets(), e.drained(), e.ownAnswers(), e.notRun(), e.atMostOnce(),
		e.leaving(), e.plannedStops(), e.edits(),
	}
	for i := range lines {
		if e.missing > 0 && lines[i].Verdict == Holds {
			lines[i].Verdict = Incomplete
		}
	}
	return lines
}

func verdict(broken bool, seen uint64) Verdict {
	switch {
	case broken:
		return Broken
	case seen == 0:
		return NotObserved
	default:
		return Holds
	}
}

func (e evidence) wholeAnswers() Promise {
	w := e.total.Complete
	return Promise{
		"every token once, in order, from one generation", verdict(false, w.Total),
		fmt.Sprintf("%d of %d generations ended whole, the others with a typed end; %d frames out of place were not passed on; %d streams resumed",
			w.Good, w.Total, e.total.MisplacedFrames, e.total.Resumes),
	}
}

func (e evidence) coldTargets() Promise {
	over, seen := 0, uint64(0)
	var worst []string
	for _, t := range e.targets() {
		if !t.Known || t.Capacity == 0 {
			continue
		}
		seen++
		if t.Running > t.Capacity {
			over++
			worst = append(worst, fmt.Sprintf("%s runs %d of %d", t.Address, t.Running, t.Capacity))
		}
	}
	text := fmt.Sprintf("%d targets reported what they bear; %d were above it", seen, over)
	if over > 0 {
		text += ": " + strings.Join(worst, ", ")
	}
	return Promise{"a target that has just started never receives more than it bears", verdict(over > 0, seen), text}
}

// targets gives each target once, from the process that admits to it where one
// answered.
func (e evidence) targets() []adminapi.TargetStatus {
	best := map[string]adminapi.TargetStatus{}
	for _, h := range e.last.Hosts {
		if h.Targets == nil {
			continue
		}
		for _, t := range h.Targets.Targets {
			id := t.Service + " " + t.Address
			if old, ok := best[id]; !ok || (t.Known && !old.Known) {
				best[id] = t
			}
		}
	}
	out := make([]adminapi.TargetStatus, 0, len(best))
	for _, t := range best {
		out = append(out, t)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Address < out[j].Address })
	return out
}

func (e evidence) runningAt(match func(adminapi.TargetStatus) bool) (targets, running int) {
	for _, t := range e.targets() {
		if match(t) {
			targets++
			running += t.Running
		}
	}
	return targets, running
}

func (e evidence) drained() Promise {
	targets, running := e.runningAt(func(t adminapi.TargetStatus) bool { return t.Drained })
	return Promise{
		"a data centre that was taken out receives no new work after a few seconds", verdict(false, uint64(targets)),
		fmt.Sprintf("%d targets are in data centres taken out; %d requests still finish there", targets, running),
	}
}

func (e evidence) ownAnswers() Promise {
	return Promise{
		"each caller gets the whole answer to its own request", verdict(false, e.total.Ran),
		fmt.Sprintf("%d requests ran; %d crossed or misnumbered frames were caught", e.total.Ran, e.total.MisplacedFrames),
	}
}

func (e evidence) notRun() Promise {
	return Promise{
		"a request that is said not to have run did not run", verdict(false, e.total.Refused),
		fmt.Sprintf("%d requests were refused as not run, %d ended as unknown; targets' own records are not visible here",
			e.total.Refused, e.total.Unknown),
	}
}

func (e evidence) atMostOnce() Promise {
	return Promise{
		"a booking or signature runs at most once", verdict(false, e.total.Replays+e.total.Ran),
		fmt.Sprintf("%d calls sent again were answered from the record; targets' own records are not visible here", e.total.Replays),
	}
}

func (e evidence) leaving() Promise {
	targets, running := e.runningAt(func(t adminapi.TargetStatus) bool { return t.PublishedState == "leaving" })
	return Promise{
		"a leaving target receives no new work after a few seconds", verdict(false, uint64(targets)),
		fmt.Sprintf("%d targets are leaving; %d requests still finish there", targets, running),
	}
}

func (e evidence) plannedStops() Promise {
	return Promise{
		"a planned stop cuts no request in progress", verdict(false, uint64(e.restarts)),
		fmt.Sprintf("%d entry processes were replaced while this report was made; a stop that cuts logs it and exits with 1", e.restarts),
	}
}

func (e evidence) edits() Promise {
	versions := map[string]int{}
	refused := map[string]bool{}
	went := false
	for i, h := range e.last.Hosts {
		d := tableOf(h)
		if d == nil {
			continue
		}
		versions[d.Version]++
		if d.RefusedVersion != "" {
			refused[d.RefusedVersion+": "+d.RefusedReason] = true
		}
		if i < len(e.first.Hosts) {
			if earlier := tableOf(e.first.Hosts[i]); earlier != nil && older(d.Version, earlier.Version) {
				went = true
			}
		}
	}
	var counts []string
	for version, hosts := range versions {
		counts = append(counts, fmt.Sprintf("version %s on %d hosts", version, hosts))
	}
	sort.Strings(counts)
	text := strings.Join(counts, ", ")
	if len(refused) > 0 {
		text += fmt.Sprintf("; refused: %s", strings.Join(sorted(refused), "; "))
	}
	return Promise{"an accepted edit is in force everywhere within seconds and never reverts", verdict(went, uint64(len(versions))), text}
}

func tableOf(h Host) *adminapi.DocumentStatus {
	if h.Rollout == nil {
		return nil
	}
	for i := range h.Rollout.Documents {
		if h.Rollout.Documents[i].Document == "table" {
			return &h.Rollout.Documents[i]
		}
	}
	return nil
}

// older compares versions of the form epoch.revision.
func older(a, b string) bool {
	var ae, ar, be, br uint64
	_, errA := fmt.Sscanf(a, "%d.%d", &ae, &ar)
	_, errB := fmt.Sscanf(b, "%d.%d", &be, &br)
	if errA != nil || errB != nil {
		return false
	}
	return ae < be || (ae == be && ar < br)
}

func sorted(set map[string]bool) []string {
	out := make([]string, 0, len(set))
	for s := range set {
		out = append(out, s)
	}
	sort.Strings(out)
	return out
}
