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

// logLine returns one line of a host's log, at the given number of seconds
// after midnight.
func logLine(seconds float64, host, msg, fields string) string {
	t := midnight.Add(time.Duration(seconds * float64(time.Second)))
	if fields != "" {
		fields = "," + fields
	}
	return fmt.Sprintf(`{"time":%q,"level":"INFO","msg":%q,"program":"filbert-gateway","host":%q%s}`, t.Format(time.RFC3339Nano), msg, host, fields)
}

// readLog reads lines as if they were from the files of several hosts.
func readLog(lines ...string) *explain.Log {
	l := &explain.Log{}
	Expect(l.Read(strings.NewReader(strings.Join(lines, "\n")))).To(Succeed())
	return l
}

func placedLine(seconds float64) string {
	return logLine(seconds, "h1", "generation placed", `"request":"r1","target":"e1","revision":7`)
}

func brokenLine(seconds float64, callerLeft bool) string {
	return logLine(seconds, "h1", "generation broke", fmt.Sprintf(`"request":"r1","target":"e1","caller_left":%t,"cause":"target-lost"`, callerLeft))
}

// Guards against blaming the last line: an engineer has the id of an
// interrupted request and the hosts' logs, and the line that decided the
// outcome must be found.
var _ = DescribeTable("the cause of a request's end",
	func(cause explain.Cause, deciding string, lines ...string) {
		explanation := readLog(lines...).Explain("r1")
		Expect(explanation.Cause).To(Equal(cause))
		if deciding == "" {
			Expect(explanation.DecidingLine).To(BeNil())
			return
		}
		Expect(explanation.DecidingLine.Message).To(Equal(deciding))
	},
	Entry("served", explain.CauseServed, "generation served",
		placedLine(1), logLine(9, "h1", "generation served", `"request":"r1","target":"e1"`)),
	Entry("response of a plain service", explain.CauseServed, "request answered",
		logLine(1, "h1", "request answered", `"request":"r1","target":"a1","status":404`)),
	Entry("failure of the target", explain.CauseTargetFailure, "request answered",
		logLine(1, "h1", "request answered", `"request":"r1","target":"a1","status":500`)),
	Entry("refused", explain.CauseRefused, "request refused",
		logLine(1, "h1", "request refused", `"request":"r1","kind":"stopping","cause":"stopping: late"`)),
	Entry("planned stop of its host", explain.CauseHostStopped, "stopping",
		placedLine(1), logLine(4, "h1", "stopping", `"signal":15`), brokenLine(11.75, true)),
	Entry("stop of another host, caller disconnected", explain.CauseCallerLeft, "generation broke",
		placedLine(1), logLine(4, "h2", "stopping", `"signal":15`), brokenLine(6, true)),
	Entry("copy completed too late", explain.CauseCopyTooLate, "generation copied",
		placedLine(1), logLine(6, "h1", "generation copied", `"request":"r1","from":"e1","to":"e2","remote":true,"error":"target-failed: EOF"`), brokenLine(6.1, false)),
	Entry("no capacity for a copy", explain.CauseNoCapacity, "generation copied",
		placedLine(1), logLine(6, "h1", "generation copied", `"request":"r1","from":"e1","to":"e2","error":"overloaded: no room"`), brokenLine(6.1, false)),
	Entry("no capacity, so that no copy was asked for", explain.CauseNoCapacity, "move waits for room",
		placedLine(1), logLine(6, "h1", "move waits for room", `"request":"r1","target":"e1"`), brokenLine(7, false)),
	Entry("expected to finish before its engine stopped", explain.CauseOutlivedEngine, "generation stays",
		placedLine(1), logLine(6, "h1", "generation stays", `"request":"r1","target":"e1"`), brokenLine(7, false)),
	Entry("refused by its backup", explain.CauseBackupRefused, "generation goes on at its backup",
		placedLine(1), logLine(6, "h1", "generation goes on at its backup", `"request":"r1","to":"e2","error":"overloaded: full"`), brokenLine(7, false)),
	Entry("loss of its engine", explain.CauseEngineLost, "generation broke", placedLine(1), brokenLine(7, false)),
	Entry("loss of its engine after a successful move", explain.CauseEngineLost, "generation broke",
		placedLine(1), logLine(3, "h1", "generation copied", `"request":"r1","from":"e0","to":"e1"`), brokenLine(7, false)),
	Entry("loss of its host", explain.CauseHostLost, "started", placedLine(1), logLine(20, "h1", "started", "")),
	Entry("loss of another host", explain.CauseNoEndLogged, "generation placed", placedLine(1), logLine(20, "h2", "started", "")),
	Entry("no line of the request", explain.CauseUnknown, "", logLine(1, "h1", "started", "")),
)

var _ = Describe("logs", func() {
	// A log collector prefixes each line with a timestamp and mixes the lines
	// of several programs.
	It("are read after a collector's timestamp, and lines of other programs are counted", func() {
		l := readLog("  1.0001 h1 "+placedLine(1), "panic: not ours", `{"other":1}`, "{broken")
		Expect(l.Explain("r1").Lines).To(HaveLen(1))
		Expect(l.SkippedLines).To(Equal(3))
	})

	// Clocks of hosts differ, and files are read one after the other.
	It("are sorted chronologically", func() {
		l := readLog(brokenLine(7, false), placedLine(1))
		Expect(l.Explain("r1").Lines[0].Message).To(Equal("generation placed"))
	})

	It("are counted by cause, the most frequent first", func() {
		otherRequest := strings.ReplaceAll(placedLine(2)+"\n"+brokenLine(3, false), `"r1"`, `"r2"`)
		refusedLine := logLine(1, "h1", "request refused", `"request":"r3","kind":"stopping"`)
		counts := readLog(placedLine(1), brokenLine(7, false), otherRequest, refusedLine).CountByCause()
		Expect(counts).To(Equal([]explain.CauseCount{
			{Cause: explain.CauseEngineLost, Requests: 2}, {Cause: explain.CauseRefused, Detail: "stopping", Requests: 1},
		}))
	})
})

// Guards against an explanation that leaves out what the request's target said
// about the requests that it wants.
var _ = DescribeTable("what the target of a request said",
	func(msg string) {
		related := readLog(
			placedLine(1),
			logLine(2, "h2", msg, `"target":"e1","source":"r9"`), logLine(2, "h2", msg, `"target":"e2","source":"r9"`),
			brokenLine(3, false),
		).Explain("r1").RelatedLines
		Expect(related).To(HaveLen(1))
		Expect(related[0].Message).To(Equal(msg))
		Expect(related[0].Target).To(Equal("e1"))
	},
	Entry("that it leaves", "target says that it leaves"),
	Entry("that it leaves, by its health", "target's health check says that it leaves"),
	Entry("that it wants a rest", "target asks for a rest"),
)
