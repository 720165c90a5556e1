package burnreport

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// WriteText writes the report as plain text for a terminal.
func WriteText(w io.Writer, r Report) error {
	p := &printer{w: w}
	p.printLine("service-level burn report, %s to %s, %d samples", r.From.Format(time.RFC3339), r.To.Format(time.RFC3339), r.Samples)
	for _, h := range r.UnreadHosts {
		p.printLine("NOT READ: %s: %s", h.Control, h.Problem)
	}
	if r.FailedReads > 0 {
		p.printLine("%d readings stayed unanswered; what happened meanwhile is not counted as good", r.FailedReads)
	}
	p.printLine("%d rows do not balance; %d entry processes were replaced", r.UnbalancedRows, r.EntryRestarts)
	p.printObjectives(r)
	p.printShares(r)
	p.printPromises(r)
	return p.err
}

// printer writes formatted lines and keeps the first write error.
type printer struct {
	w   io.Writer
	err error
}

func (p *printer) printLine(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format+"\n", args...)
	}
}

func (p *printer) printTable(rows func(t *printer)) {
	tw := tabwriter.NewWriter(p.w, 0, 0, 2, ' ', 0)
	rows(&printer{w: tw})
	if err := tw.Flush(); p.err == nil {
		p.err = err
	}
}

func (p *printer) printObjectives(r Report) {
	p.printLine("\nobjectives (burn 1 uses the error budget up just in its period)")
	p.printTable(func(t *printer) {
		t.printLine("service\tobjective\ttarget\tgood of all\tburn\tby window")
		for _, o := range r.Objectives {
			t.printLine("%s\t%s %s\t%.2f%%\t%d of %d\t%s\t%s", o.Service, o.Name, o.Meaning, o.Target*100,
				o.SinceStart.Events.Good, o.SinceStart.Events.Total, formatBurnRate(o.SinceStart.BurnRate), formatWindows(o.Windows))
		}
	})
}

func formatBurnRate(burnRate float64) string {
	if burnRate < 0 {
		return "no events"
	}
	return fmt.Sprintf("%.2f", burnRate)
}

func formatWindows(windows []Window) string {
	text := ""
	for _, w := range windows {
		text += fmt.Sprintf("%v: %s  ", w.Length, formatBurnRate(w.BurnRate))
	}
	return text
}

func (p *printer) printShares(r Report) {
	p.printLine("\nshares (service per weight, relative to the most)")
	p.printTable(func(t *printer) {
		t.printLine("account\tweight\ttokens\tcalls\tper weight\trefused\tmean wait")
		for _, s := range r.Shares {
			t.printLine("%s\t%g\t%d\t%d\t%.2f\t%.1f%%\t%.1f ms", s.Account, s.Weight, s.Tokens, s.Calls, s.PerWeight, s.RefusedFraction*100, s.WaitMS)
		}
	})
	if r.Spread > 0 {
		p.printLine("spread, most over least: %.2f", r.Spread)
	}
}

func (p *printer) printPromises(r Report) {
	p.printLine("\npromises")
	for i, promise := range r.Promises {
		p.printLine("%d. %s: %s", i+1, promise.Text, promise.Verdict)
		p.printLine("   %s", promise.Evidence)
	}
}
