package explain_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/explain"
)

func TestExplain(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "explain")
}

var midnight = time.Date(2026, 1, 15, 0, 0, 0, 0, time.UTC)

// line writes one line of a host's log, some seconds after midnight.
func line(at float64, host, msg, fields string) string {
	t := midnight.Add(time.Duration(at * float64(time.Second)))
	if fields != "" {
		fields = "," + fields
	}
	return fmt.Sprintf(`{"time":%q,"level":"INFO","msg":%q,"program":"filbert-gateway","host":%q%s}`, t.Format(time.RFC3339Nano), msg, host, fields)
}

// logOf reads lines as they would lie in files of several hosts.
func logOf(lines ...string) *explain.Log {
	l := &explain.Log{}
	Expect(l.Read(strings.NewReader(strings.Join(lines, "\n")))).To(Succeed())
	return l
}

func placed(at float64) string {
	return line(at, "h1", "generation placed", `"request":"r1","target":"e1","revision":7`)
}

func broke(at float64, callerLeft bool) string {
	return line(at, "h1", "generation broke", fmt.Sprintf(`"request":"r1","target":"e1","caller_left":%t,"cause":"target-lost"`, callerLeft))
}

// A technician's report was cut short, and the engineer on call has its id and
// the hosts' logs. The line that decided must be named, not just the last one.
var _ = DescribeTable("the cause of a request's end",
	func(cause explain.Cause, deciding string, lines ...string) {
		s := logOf(lines...).Explain("r1")
		Expect(s.Cause).To(Equal(cause))
		if deciding == "" {
			Expect(s.Deciding).To(BeNil())
			return
		}
		Expect(s.Deciding.Message).To(Equal(deciding))
	},
	Entry("served", explain.CauseServed, "generation served",
		placed(1), line(9, "h1", "generation served", `"request":"r1","target":"e1"`)),
	Entry("a plain answer", explain.CauseServed, "request answered",
		line(1, "h1", "request answered", `"request":"r1","target":"a1","status":404`)),
	Entry("the target's own failure", explain.CauseTargetFailure, "request answered",
		line(1, "h1", "request answered", `"request":"r1","target":"a1","status":500`)),
	Entry("refused", explain.CauseRefused, "request refused",
		line(1, "h1", "request refused", `"request":"r1","kind":"stopping","cause":"stopping: late"`)),
	Entry("its host stopped by plan", explain.CauseHostStopped, "stopping",
		placed(1), line(4, "h1", "stopping", `"signal":15`), broke(11.75, true)),
	Entry("another host stopped, the caller left", explain.CauseCallerLeft, "generation broke",
		placed(1), line(4, "h2", "stopping", `"signal":15`), broke(6, true)),
	Entry("a copy came too late", explain.CauseCopyTooLate, "generation copied",
		placed(1), line(6, "h1", "generation copied", `"request":"r1","from":"e1","to":"e2","remote":true,"error":"target-failed: EOF"`), broke(6.1, false)),
	Entry("no room for a copy", explain.CauseNoRoom, "generation copied",
		placed(1), line(6, "h1", "generation copied", `"request":"r1","from":"e1","to":"e2","error":"overloaded: no room"`), broke(6.1, false)),
	Entry("it was to end in time", explain.CauseStayed, "generation stays",
		placed(1), line(6, "h1", "generation stays", `"request":"r1","target":"e1"`), broke(7, false)),
	Entry("its backup was refused", explain.CauseBackupRefused, "generation goes on at its backup",
		placed(1), line(6, "h1", "generation goes on at its backup", `"request":"r1","to":"e2","error":"overloaded: full"`), broke(7, false)),
	Entry("its engine was lost", explain.CauseEngineLost, "generation broke", placed(1), broke(7, false)),
	Entry("an earlier move went well, then its engine was lost", explain.CauseEngineLost, "generation broke",
		placed(1), line(3, "h1", "generation copied", `"request":"r1","from":"e0","to":"e1"`), broke(7, false)),
	Entry("its host was lost", explain.CauseHostLost, "started", placed(1), line(20, "h1", "started", "")),
	Entry("another host was lost", explain.CauseStillInProcess, "generation placed", placed(1), line(20, "h2", "started", "")),
	Entry("no line at all", explain.CauseUnknown, "", line(1, "h1", "started", "")),
)

var _ = Describe("logs", func() {
	// A collector puts its own stamp before each line and mixes programs.
	It("are read behind a collector's stamp, and foreign lines are counted", func() {
		l := logOf("  1.0001 h1 "+placed(1), "panic: not ours", `{"other":1}`, "{broken")
		Expect(l.Explain("r1").Lines).To(HaveLen(1))
		Expect(l.Unread).To(Equal(3))
	})

	// Clocks of hosts differ and files are read one after the other.
	It("are put into the order of time", func() {
		l := logOf(broke(7, false), placed(1))
		Expect(l.Explain("r1").Lines[0].Message).To(Equal("generation placed"))
	})

	It("are counted by cause, the most frequent first", func() {
		other := strings.ReplaceAll(placed(2)+"\n"+broke(3, false), `"r1"`, `"r2"`)
		third := line(1, "h1", "request refused", `"request":"r3","kind":"stopping"`)
		tally := logOf(placed(1), broke(7, false), other, third).Tally()
		Expect(tally).To(Equal([]explain.Count{
			{Cause: explain.CauseEngineLost, N: 2}, {Cause: explain.CauseRefused, Detail: "stopping", N: 1},
		}))
	})
})
