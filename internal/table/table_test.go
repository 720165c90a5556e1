package table_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/failure"
	"filbertdeck/internal/table"
)

func TestTable(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "table")
}

const header = "kind,name,weight,max_running,tokens_per_second,priority,key_sha256,services,type,delivery,max_tokens,max_wait_ms,queue_limit\n"

var (
	keyA = strings.Repeat("a1", 32)
	keyB = strings.Repeat("b2", 32)
)

func sample() string {
	return header +
		"service,reports,,,,,,,generation,whole,8000,60000,500\n" +
		"service,bookings,,,,,,,once,,,,\n" +
		"account,clinic-north,2.5,40,900,3," + keyA + ";" + keyB + ",reports;bookings,,,,,\n" +
		"account,radio,,,,,,,,,,,\n"
}

func parse(pages ...string) (*table.Table, table.Faults) {
	raw := make([][]byte, len(pages))
	for i, p := range pages {
		raw[i] = []byte(p)
	}
	return table.Parse(7, raw)
}

// accounts gives a table of n accounts, each with one key.
func accounts(n int) string {
	var b strings.Builder
	b.WriteString(header + "service,reports,,,,,,,generation,,,,\n")
	for i := range n {
		fmt.Fprintf(&b, "account,member-%05d,1,20,500,0,%064x,reports,,,,,\n", i, i+1)
	}
	return b.String()
}

var _ = Describe("Parse", func() {
	It("reads every column with its default", func() {
		t, faults := parse(sample())
		Expect(faults).To(BeEmpty())
		Expect(t.Revision).To(Equal(uint64(7)))
		a := t.Accounts["clinic-north"]
		Expect([]any{a.Weight, a.MaxRunning, a.TokensPerSecond, a.Priority}).To(Equal([]any{2.5, 40, 900.0, 3}))
		Expect(a.Services).To(Equal([]string{"reports", "bookings"}))
		Expect(t.AccountByKeyHash[a.KeyHashes[1]]).To(BeIdenticalTo(a))
		Expect(t.Accounts["radio"].Weight).To(Equal(1.0))
		Expect(*t.Services["reports"]).To(Equal(table.Service{Name: "reports", Type: table.ServiceGeneration,
			Delivery: table.DeliveryBuffered, MaxTokens: 8000, MaxWait: time.Minute, QueueLimit: 500}))
		Expect(t.Services["bookings"].Type).To(Equal(table.ServiceOnce))
	})

	DescribeTable("reads what spreadsheets save as the same table",
		func(text string) {
			want, _ := parse(sample())
			got, faults := parse(text)
			Expect(faults).To(BeEmpty())
			Expect(table.EncodePages(got)).To(Equal(table.EncodePages(want)))
		},
		Entry("byte order mark and CRLF", "\ufeff"+strings.ReplaceAll(sample(), "\n", "\r\n")),
		Entry("quoted cells", strings.ReplaceAll(sample(), "clinic-north", `"clinic-north"`)),
		Entry("tabs", strings.ReplaceAll(sample(), ",", "\t")),
		Entry("semicolons", semicolons()),
		Entry("empty rows, spaces and capitals", strings.ReplaceAll(strings.ToUpper(header)+strings.TrimPrefix(sample(), header), "radio,", " radio ,")+",,,,,,,,,,,,\n\n"),
		Entry("columns in another order", reordered()),
	)

	DescribeTable("places each fault",
		func(rows string, row int, column, allowed string) {
			_, faults := parse(header + rows)
			Expect(faults).To(HaveLen(1), "%v", faults)
			Expect(faults[0].Row).To(Equal(row))
			Expect(faults[0].Column).To(Equal(column))
			Expect(faults[0].Allowed).To(ContainSubstring(allowed))
		},
		Entry("unknown kind", "user,a,,,,,,,,,,,\n", 2, "kind", "account, service"),
		Entry("no kind", ",a,,,,,,,,,,,\n", 2, "kind", "account, service"),
		Entry("name with a space", "account,a b,,,,,,,,,,,\n", 2, "name", "letters"),
		Entry("weight zero", "account,a,0,,,,,,,,,,\n", 2, "weight", "above 0"),
		Entry("weight NaN", "account,a,NaN,,,,,,,,,,\n", 2, "weight", "above 0"),
		Entry("decimal comma", "account,a,\"1,5\",,,,,,,,,,\n", 2, "weight", "decimal point"),
		Entry("negative limit", "account,a,,-1,,,,,,,,,\n", 2, "max_running", "from 0"),
		Entry("rate too high", "account,a,,,1e12,,,,,,,,\n", 2, "tokens_per_second", "1000000000"),
		Entry("priority", "account,a,,,,101,,,,,,,\n", 2, "priority", "-100 to 100"),
		Entry("unknown service", "account,a,,,,,,maps,,,,,\n", 2, "services", "service row"),
		Entry("cell of another kind", "account,a,,,,,,,,,,,5\n", 2, "queue_limit", "empty in a row of kind account"),
		Entry("type", "service,s,,,,,,,batch,,,,\n", 2, "type", "lookup"),
		Entry("delivery of a lookup", "service,s,,,,,,,lookup,whole,,,\n", 2, "delivery", "empty"),
		Entry("wait", "service,s,,,,,,,,,,0,\n", 2, "max_wait_ms", "from 1"),
		Entry("same name twice", "account,a,,,,,,,,,,,\naccount,a,,,,,,,,,,,\n", 3, "name", "row 2"),
		Entry("key of two accounts", "account,a,,,,,"+keyA+",,,,,,\naccount,b,,,,,"+keyA+",,,,,,\n", 3, "key_sha256", "account a"),
		Entry("epoch", "epoch,next,,,,,,,,,,,\n", 2, "name", "whole number"),
		Entry("stray quote", "account,a\"b,,,,,,,,,,,\n", 2, "(row)", "quotes"),
		Entry("too many cells", "account,a,,,,,,,,,,,,x\n", 2, "(row)", "header"),
	)

	It("finds all faults at once and gives one typed failure", func() {
		_, faults := parse(header + "account,,0,,,,,,,,,,\nservice,s,,,,,,,x,,0,,\n")
		Expect(faults).To(HaveLen(4))
		Expect(failure.KindOf(faults.Err())).To(Equal(failure.KindTableInvalid))
	})

	// An operator pastes the key itself where its digest belongs. The report of
	// the fault goes to logs, to the monitor and to every node.
	It("never repeats what stands in the keys' column", func() {
		_, faults := parse(header + "account,a,,,,,my-secret-key,,,,,,\n")
		Expect(faults).To(HaveLen(1))
		Expect(faults.Err().Error()).NotTo(ContainSubstring("my-secret-key"))
	})

	DescribeTable("refuses what is no table", func(pages ...string) {
		t, faults := parse(pages...)
		Expect(t).To(BeNil())
		Expect(faults).NotTo(BeEmpty())
	},
		Entry("no page"), Entry("an empty page", ""), Entry("no header", "account,a\n"),
		Entry("unknown column", "kind,name,colour\naccount,a,red\n"),
		Entry("column twice", "kind,name,name\naccount,a,b\n"),
		Entry("other header on page two", header+"account,a,,,,,,,,,,,\n", "kind,name\naccount,b\n"),
		Entry("a page above a value's bound", header+strings.Repeat("\n", table.MaxPageBytes)))

	It("pages 11,000 accounts into values below 1 MiB and reads them back", func() {
		_, faults := parse(accounts(11_000))
		Expect(faults).To(HaveLen(1), "one page would be too large")
		pages := table.EncodePages(mustTable(11_000))
		Expect(len(pages)).To(BeNumerically(">", 1))
		for _, p := range pages {
			Expect(len(p)).To(BeNumerically("<=", table.MaxPageBytes))
		}
		again, faults := table.Parse(8, pages)
		Expect(faults).To(BeEmpty())
		Expect(table.EncodePages(again)).To(Equal(pages))
	})
})

var _ = Describe("Apply", func() {
	change := func(key, text string) table.RowChange { return table.RowChange{Key: key, Text: text} }

	It("gives what parsing the whole edited table gives", func() {
		base, _ := parse(sample())
		edited, faults := parse(strings.Replace(sample(), "radio,,", "radio,9,", 1) + "account,new,,,,,,,,,,,\n")
		Expect(faults).To(BeEmpty())
		var changes []table.RowChange
		for _, d := range table.Diff(base, edited) {
			changes = append(changes, table.RowChange{Key: d.Key, Text: d.Text})
		}
		Expect(changes).To(HaveLen(2))
		got, faults := base.Apply(0, 7, changes)
		Expect(faults).To(BeEmpty())
		Expect(got).To(Equal(edited))
		Expect(base.Accounts).NotTo(HaveKey("new"))
	})

	It("carries any edit to a copy elsewhere as the rows that changed", func() {
		base, _ := parse(sample())
		for _, edited := range []string{
			sample(), sample() + "epoch,4,,,,,,,,,,,\n", sample() + "account,new,,,,,,,,,,,\n",
			strings.Replace(sample(), "account,radio,,,,,,,,,,,\n", "", 1),
			strings.Replace(sample(), "8000,60000", "9000,60000", 1) + "service,maps,,,,,,,lookup,,,,\n",
		} {
			next, faults := parse(edited)
			Expect(faults).To(BeEmpty())
			for _, step := range [][2]*table.Table{{base, next}, {next, base}} {
				got, faults := step[0].Apply(step[1].Epoch, 7, table.ChangedRows(step[0], step[1]))
				Expect(faults).To(BeEmpty())
				Expect(got).To(Equal(step[1]))
			}
		}
		shared, _ := base.Apply(0, 8, []table.RowChange{change("account/radio", "account,radio,3,0,0,0,,,,,,,")})
		Expect(table.ChangedRows(base, shared.WithDrainAndTargets(nil, nil))).To(HaveLen(1))
	})

	It("lets a key move between accounts within one edit", func() {
		base, _ := parse(sample())
		got, faults := base.Apply(0, 8, []table.RowChange{
			change("account/radio", "account,radio,1,0,0,0,"+keyA+",,,,,,"),
			change("account/clinic-north", "account,clinic-north,1,0,0,0,"+keyB+",,,,,,"),
		})
		Expect(faults).To(BeEmpty())
		Expect(got.AccountByKeyHash[got.Accounts["radio"].KeyHashes[0]].Name).To(Equal("radio"))
	})

	DescribeTable("refuses what breaks the table as a whole and leaves it alone",
		func(key, text string) {
			base, _ := parse(sample())
			before := table.EncodePages(base)
			_, faults := base.Apply(0, 8, []table.RowChange{change(key, text)})
			Expect(faults).NotTo(BeEmpty())
			Expect(table.EncodePages(base)).To(Equal(before))
		},
		Entry("a service in use goes", "service/reports", ""),
		Entry("a key stands twice", "account/radio", "account,radio,1,0,0,0,"+keyA+",,,,,,"),
		Entry("the row is another's", "account/radio", "account,clinic-south,1,0,0,0,,,,,,,"),
		Entry("no row at all", "account/radio", "nonsense"),
	)
})

var _ = Describe("Diff", func() {
	It("names who is touched and what changes, in columns", func() {
		old, _ := parse(sample())
		next, _ := parse(strings.Replace(strings.Replace(sample(), "2.5,40", "4,40", 1), "account,radio,,,,,,,,,,,\n", "", 1))
		diffs := table.Diff(old, next)
		Expect(diffs).To(HaveLen(2))
		Expect(diffs[0].String()).To(Equal("changed account clinic-north: weight 2.5 -> 4"))
		Expect(diffs[1].String()).To(HavePrefix("removed account radio"))
		Expect(table.Diff(old, old)).To(BeEmpty())
	})
})

func semicolons() string {
	r := strings.NewReplacer(keyA+";"+keyB, `"`+keyA+";"+keyB+`"`, "reports;bookings", `"reports;bookings"`, ",", ";")
	return r.Replace(sample())
}

func reordered() string {
	return "name,kind,services,key_sha256,priority,tokens_per_second,max_running,weight,queue_limit,max_wait_ms,max_tokens,delivery,type\n" +
		"reports,service,,,,,,,500,60000,8000,whole,generation\n" +
		"bookings,service,,,,,,,,,,,once\n" +
		"clinic-north,account,reports;bookings," + keyA + ";" + keyB + ",3,900,40,2.5,,,,,\n" +
		"radio,account,,,,,,,,,,,\n"
}

// mustTable gives a table of n accounts by way of pages of 5,000 rows.
func mustTable(n int) *table.Table {
	lines := strings.SplitAfter(accounts(n), "\n")
	var pages [][]byte
	for len(lines) > 0 {
		k := min(5000, len(lines))
		pages = append(pages, []byte(strings.Join(lines[:k], "")))
		lines = lines[k:]
	}
	t, faults := table.Parse(7, pages)
	if len(faults) > 0 {
		panic(faults.Err())
	}
	return t
}

func FuzzParse(f *testing.F) {
	seeds, _ := filepath.Glob("testdata/*.csv")
	for _, s := range seeds {
		b, err := os.ReadFile(s)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Add([]byte(sample()))
	f.Add([]byte(semicolons()))
	f.Add([]byte(header + "account,a\"b\n\"x"))
	f.Fuzz(func(t *testing.T, page []byte) {
		parsed, faults := table.Parse(1, [][]byte{page})
		if (parsed == nil) == (len(faults) == 0) {
			t.Fatalf("table %v with faults %v", parsed != nil, faults)
		}
		if parsed == nil {
			return
		}
		pages := table.EncodePages(parsed)
		again, faults := table.Parse(1, pages)
		if len(faults) > 0 {
			t.Fatalf("canonical form refused: %v", faults)
		}
		if fmt.Sprint(table.EncodePages(again)) != fmt.Sprint(pages) {
			t.Fatal("canonical form is not stable")
		}
	})
}

func BenchmarkParse(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 11_000} {
		pages := table.EncodePages(mustTable(n))
		b.Run(fmt.Sprintf("accounts=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				table.Parse(1, pages)
			}
		})
	}
}

func BenchmarkChangesOfOneRow(b *testing.B) {
	t := mustTable(11_000)
	next, _ := t.Apply(0, 2, []table.RowChange{{Key: "account/member-00003", Text: fmt.Sprintf("account,member-00003,2,20,500,0,%064x,reports,,,,,", 4)}})
	b.ReportAllocs()
	for b.Loop() {
		if n := len(table.ChangedRows(t, next)); n != 1 {
			b.Fatal(n)
		}
	}
}

func BenchmarkApplyOneRow(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 11_000} {
		t := mustTable(n)
		change := []table.RowChange{{Key: "account/member-00003", Text: fmt.Sprintf("account,member-00003,2,20,500,0,%064x,reports,,,,,", 4)}}
		b.Run(fmt.Sprintf("accounts=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, faults := t.Apply(0, 2, change); len(faults) > 0 {
					b.Fatal(faults)
				}
			}
		})
	}
}
