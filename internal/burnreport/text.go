package burnreport

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// Text writes the report for a terminal.
func Text(w io.Writer, r Report) error {
	p := &printer{w: w}
	p.line("service-level burn report, %s to %s, %d samples", r.From.Format(time.RFC3339), r.To.Format(time.RFC3339), r.Samples)
	for _, h := range r.Missing {
		p.line("NOT READ: %s: %s", h.Control, h.Problem)
	}
	if r.Gaps > 0 {
		p.line("%d readings stayed unanswered; what happened meanwhile is not counted as good", r.Gaps)
	}
	p.line("%d rows do not balance; %d entry processes were replaced", r.Unbalanced, r.Restarts)
	p.objectives(r)
	p.shares(r)
	p.promises(r)
	return p.err
}

// printer keeps the first error of its writes.
type printer struct {
	w   io.Writer
	err error
}

func (p *printer) line(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format+"\n", args...)
	}
}

func (p *printer) table(rows func(t *printer)) {
	tw := tabwriter.NewWriter(p.w, 0, 0, 2, ' ', 0)
	rows(&printer{w: tw})
	if err := tw.Flush(); p.err == nil {
		p.err = err
	}
}

func (p *printer) objectives(r Report) {
	p.line("\nobjectives (burn 1 uses the error budget up just in its period)")
	p.table(func(t *printer) {
		t.line("service\tobjective\ttarget\tgood of all\tburn\tby window")
		for _, o := range r.Objectives {
			t.line("%s\t%s %s\t%.2f%%\t%d of %d\t%s\t%s", o.Service, o.Name, o.Meaning, o.Target*100,
				o.Since.Events.Good, o.Since.Events.Total, burnText(o.Since.Burn), windowsText(o.Windows))
		}
	})
}

func burnText(burn float64) string {
	if burn < 0 {
		return "no events"
	}
	return fmt.Sprintf("%.2f", burn)
}

func windowsText(windows []Window) string {
	text := ""
	for _, w := range windows {
		text += fmt.Sprintf("%v: %s  ", w.Length, burnText(w.Burn))
	}
	return text
}

func (p *printer) shares(r Report) {
	p.line("\nshares (service per weight, relative to the most)")
	p.table(func(t *printer) {
		t.line("account\tweight\ttokens\tcalls\tper weight\trefused\tmean wait")
		for _, s := range r.Shares {
			t.line("%s\t%g\t%d\t%d\t%.2f\t%.1f%%\t%.1f ms", s.Account, s.Weight, s.Tokens, s.Calls, s.PerWeight, s.Refused*100, s.WaitMS)
		}
	})
	if r.Spread > 0 {
		p.line("spread, most over least: %.2f", r.Spread)
	}
}

func (p *printer) promises(r Report) {
	p.line("\npromises")
	for i, promise := range r.Promises {
		p.line("%d. %s: %s", i+1, promise.Text, promise.Verdict)
		p.line("   %s", promise.Evidence)
	}
}
