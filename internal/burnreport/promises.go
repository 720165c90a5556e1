package burnreport

import (
	"fmt"
	"sort"
	"strings"

	"filbertdeck/internal/adminapi"
)

// Verdict is the assessment of a promise, based on its evidence.
type Verdict string

// Possible verdicts. Counters can show that a promise was broken, but where
// nothing was counted they cannot prove that it was kept.
const (
	NoBreach    Verdict = "no breach seen"
	Broken      Verdict = "BROKEN"
	NotObserved Verdict = "not observed"
	Incomplete  Verdict = "incomplete"
)

// Promise is a guarantee given to the users, with its verdict and evidence.
type Promise struct {
	Text     string  `json:"promise"`
	Verdict  Verdict `json:"verdict"`
	Evidence string  `json:"evidence"`
}

// evidence is the data from which the verdicts are derived. incompleteReads is
// the number of unread hosts and unbalanced rows.
type evidence struct {
	total           adminapi.AccountingRow
	lastSample      Sample
	firstSample     Sample
	incompleteReads int
	restarts        int
}

// checkPromises assesses every promise, in the order of the users' documentation.
// With incomplete data, no promise is reported as kept.
func checkPromises(e evidence) []Promise {
	promises := []Promise{
		e.wholeAnswersPromise(), e.startingTargetsPromise(), e.drainedTargetsPromise(),
		e.matchingAnswersPromise(), e.notRunPromise(), e.atMostOncePromise(),
		e.leavingTargetsPromise(), e.plannedStopsPromise(), e.editsPromise(),
	}
	for i := range promises {
		if e.incompleteReads > 0 && promises[i].Verdict == NoBreach {
			promises[i].Verdict = Incomplete
		}
	}
	return promises
}

// verdictFor returns the verdict for a promise; observed is the number of events
// or objects to which the promise applied.
func verdictFor(broken bool, observed uint64) Verdict {
	switch {
	case broken:
		return Broken
	case observed == 0:
		return NotObserved
	default:
		return NoBreach
	}
}

func (e evidence) wholeAnswersPromise() Promise {
	ratio := e.total.Complete
	return Promise{
		"every token once, in order, from one generation", verdictFor(false, ratio.Total),
		fmt.Sprintf("%d of %d generations ended whole, the others with a typed end; %d frames out of place were not passed on; %d streams resumed",
			ratio.Good, ratio.Total, e.total.MisplacedFrames, e.total.Resumes),
	}
}

func (e evidence) startingTargetsPromise() Promise {
	overLimit, reported := 0, uint64(0)
	var details []string
	for _, t := range e.uniqueTargets() {
		if !t.Known || t.Capacity == 0 {
			continue
		}
		reported++
		if t.Running > t.Capacity {
			overLimit++
			details = append(details, fmt.Sprintf("%s runs %d of %d", t.Address, t.Running, t.Capacity))
		}
	}
	text := fmt.Sprintf("%d targets reported what they bear; %d were above it", reported, overLimit)
	if overLimit > 0 {
		text += ": " + strings.Join(details, ", ")
	}
	return Promise{"a target that has just started never receives more than it bears", verdictFor(overLimit > 0, reported), text}
}

// uniqueTargets returns each target once. It prefers the status from the control
// process that admits requests to the target, if that process answered.
func (e evidence) uniqueTargets() []adminapi.TargetStatus {
	byID := map[string]adminapi.TargetStatus{}
	for _, h := range e.lastSample.Hosts {
		if h.Targets == nil {
			continue
		}
		for _, t := range h.Targets.Targets {
			id := t.Service + " " + t.Address
			if existing, ok := byID[id]; !ok || (t.Known && !existing.Known) {
				byID[id] = t
			}
		}
	}
	out := make([]adminapi.TargetStatus, 0, len(byID))
	for _, t := range byID {
		out = append(out, t)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Address < out[j].Address })
	return out
}

func (e evidence) countRunning(match func(adminapi.TargetStatus) bool) (targets, running int) {
	for _, t := range e.uniqueTargets() {
		if match(t) {
			targets++
			running += t.Running
		}
	}
	return targets, running
}

func (e evidence) drainedTargetsPromise() Promise {
	targets, running := e.countRunning(func(t adminapi.TargetStatus) bool { return t.Drained })
	return Promise{
		"a data centre that was taken out receives no new work after a few seconds", verdictFor(false, uint64(targets)),
		fmt.Sprintf("%d targets are in data centres taken out; %d requests still finish there", targets, running),
	}
}

func (e evidence) matchingAnswersPromise() Promise {
	return Promise{
		"each caller gets the whole answer to its own request", verdictFor(false, e.total.Ran),
		fmt.Sprintf("%d requests ran; %d crossed or misnumbered frames were caught", e.total.Ran, e.total.MisplacedFrames),
	}
}

func (e evidence) notRunPromise() Promise {
	return Promise{
		"a request that is said not to have run did not run", verdictFor(false, e.total.Refused),
		fmt.Sprintf("%d requests were refused as not run, %d ended as unknown; targets' own records are not visible here",
			e.total.Refused, e.total.Unknown),
	}
}

func (e evidence) atMostOncePromise() Promise {
	return Promise{
		"a booking or signature runs at most once", verdictFor(false, e.total.Replays+e.total.Ran),
		fmt.Sprintf("%d calls sent again were answered from the record; targets' own records are not visible here", e.total.Replays),
	}
}

func (e evidence) leavingTargetsPromise() Promise {
	targets, running := e.countRunning(func(t adminapi.TargetStatus) bool { return t.PublishedState == "leaving" })
	return Promise{
		"a leaving target receives no new work after a few seconds", verdictFor(false, uint64(targets)),
		fmt.Sprintf("%d targets are leaving; %d requests still finish there", targets, running),
	}
}

func (e evidence) plannedStopsPromise() Promise {
	return Promise{
		"a planned stop cuts no request in progress", verdictFor(false, uint64(e.restarts)),
		fmt.Sprintf("%d entry processes were replaced while this report was made; a stop that cuts logs it and exits with 1", e.restarts),
	}
}

func (e evidence) editsPromise() Promise {
	versions := map[string]int{}
	refused := map[string]bool{}
	reverted := false
	for i, h := range e.lastSample.Hosts {
		status := tableStatus(h)
		if status == nil {
			continue
		}
		versions[status.Version]++
		if status.RefusedVersion != "" {
			refused[status.RefusedVersion+": "+status.RefusedReason] = true
		}
		if i < len(e.firstSample.Hosts) {
			if firstStatus := tableStatus(e.firstSample.Hosts[i]); firstStatus != nil && olderVersion(status.Version, firstStatus.Version) {
				reverted = true
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
		text += fmt.Sprintf("; refused: %s", strings.Join(sortedKeys(refused), "; "))
	}
	return Promise{"an accepted edit is in force everywhere within seconds and never reverts", verdictFor(reverted, uint64(len(versions))), text}
}

func tableStatus(h Host) *adminapi.DocumentStatus {
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

// olderVersion reports whether version a precedes version b; both have the form
// epoch.revision. It returns false for malformed versions.
func olderVersion(a, b string) bool {
	var aEpoch, aRevision, bEpoch, bRevision uint64
	_, errA := fmt.Sscanf(a, "%d.%d", &aEpoch, &aRevision)
	_, errB := fmt.Sscanf(b, "%d.%d", &bEpoch, &bRevision)
	if errA != nil || errB != nil {
		return false
	}
	return aEpoch < bEpoch || (aEpoch == bEpoch && aRevision < bRevision)
}

func sortedKeys(set map[string]bool) []string {
	keys := make([]string, 0, len(set))
	for key := range set {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}
