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

func sampleCSV() string {
	return header +
		"service,reports,,,,,,,generation,whole,8000,60000,500\n" +
		"service,bookings,,,,,,,once,,,,\n" +
		"account,clinic-north,2.5,40,900,3," + keyA + ";" + keyB + ",reports;bookings,,,,,\n" +
		"account,radio,,,,,,,,,,,\n"
}

func parseTable(pages ...string) (*table.Table, table.Faults) {
	rawPages := make([][]byte, len(pages))
	for i, p := range pages {
		rawPages[i] = []byte(p)
	}
	return table.Parse(7, rawPages)
}

// accountsCSV returns a table with n accounts, each with one key.
func accountsCSV(n int) string {
	var b strings.Builder
	b.WriteString(header + "service,reports,,,,,,,generation,,,,\n")
	for i := range n {
		fmt.Fprintf(&b, "account,member-%05d,1,20,500,0,%064x,reports,,,,,\n", i, i+1)
	}
	return b.String()
}

var _ = Describe("Parse", func() {
	It("reads every column and applies defaults", func() {
		t, faults := parseTable(sampleCSV())
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

	DescribeTable("reads the formats of common spreadsheets as the same table",
		func(text string) {
			want, _ := parseTable(sampleCSV())
			got, faults := parseTable(text)
			Expect(faults).To(BeEmpty())
			Expect(table.EncodePages(got)).To(Equal(table.EncodePages(want)))
		},
		Entry("byte order mark and CRLF", "\ufeff"+strings.ReplaceAll(sampleCSV(), "\n", "\r\n")),
		Entry("quoted cells", strings.ReplaceAll(sampleCSV(), "clinic-north", `"clinic-north"`)),
		Entry("tabs", strings.ReplaceAll(sampleCSV(), ",", "\t")),
		Entry("semicolons", semicolonSampleCSV()),
		Entry("empty rows, spaces and capitals", strings.ReplaceAll(strings.ToUpper(header)+strings.TrimPrefix(sampleCSV(), header), "radio,", " radio ,")+",,,,,,,,,,,,\n\n"),
		Entry("columns in another order", reorderedSampleCSV()),
	)

	DescribeTable("reports the position of each fault",
		func(rows string, row int, column, allowed string) {
			_, faults := parseTable(header + rows)
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
		Entry("priority out of range", "account,a,,,,101,,,,,,,\n", 2, "priority", "-100 to 100"),
		Entry("unknown service", "account,a,,,,,,maps,,,,,\n", 2, "services", "service row"),
		Entry("cell in a column of another row kind", "account,a,,,,,,,,,,,5\n", 2, "queue_limit", "empty in a row of kind account"),
		Entry("unknown service type", "service,s,,,,,,,batch,,,,\n", 2, "type", "lookup"),
		Entry("delivery of a lookup", "service,s,,,,,,,lookup,whole,,,\n", 2, "delivery", "empty"),
		Entry("wait of zero", "service,s,,,,,,,,,,0,\n", 2, "max_wait_ms", "from 1"),
		Entry("duplicate name", "account,a,,,,,,,,,,,\naccount,a,,,,,,,,,,,\n", 3, "name", "row 2"),
		Entry("key used by two accounts", "account,a,,,,,"+keyA+",,,,,,\naccount,b,,,,,"+keyA+",,,,,,\n", 3, "key_sha256", "account a"),
		Entry("epoch that is no number", "epoch,next,,,,,,,,,,,\n", 2, "name", "whole number"),
		Entry("stray quote", "account,a\"b,,,,,,,,,,,\n", 2, "(row)", "quotes"),
		Entry("too many cells", "account,a,,,,,,,,,,,,x\n", 2, "(row)", "header"),
	)

	It("reports all faults at once and returns one typed error", func() {
		_, faults := parseTable(header + "account,,0,,,,,,,,,,\nservice,s,,,,,,,x,,0,,\n")
		Expect(faults).To(HaveLen(4))
		Expect(failure.KindOf(faults.Err())).To(Equal(failure.KindTableInvalid))
	})

	// Guards against leaking a secret: an operator may paste the key itself
	// where its digest belongs, and the fault report is sent to logs, to the
	// monitor and to every node.
	It("never reports the content of the key column", func() {
		_, faults := parseTable(header + "account,a,,,,,my-secret-key,,,,,,\n")
		Expect(faults).To(HaveLen(1))
		Expect(faults.Err().Error()).NotTo(ContainSubstring("my-secret-key"))
	})

	DescribeTable("rejects input that is not a table", func(pages ...string) {
		t, faults := parseTable(pages...)
		Expect(t).To(BeNil())
		Expect(faults).NotTo(BeEmpty())
	},
		Entry("no page"), Entry("an empty page", ""), Entry("no header", "account,a\n"),
		Entry("unknown column", "kind,name,colour\naccount,a,red\n"),
		Entry("duplicate column", "kind,name,name\naccount,a,b\n"),
		Entry("different header on the second page", header+"account,a,,,,,,,,,,,\n", "kind,name\naccount,b\n"),
		Entry("a page above the size limit", header+strings.Repeat("\n", table.MaxPageBytes)))

	It("splits 11,000 accounts into pages below 1 MiB and reads them back", func() {
		_, faults := parseTable(accountsCSV(11_000))
		Expect(faults).To(HaveLen(1), "one page would be too large")
		pages := table.EncodePages(newTable(11_000))
		Expect(len(pages)).To(BeNumerically(">", 1))
		for _, p := range pages {
			Expect(len(p)).To(BeNumerically("<=", table.MaxPageBytes))
		}
		reparsed, faults := table.Parse(8, pages)
		Expect(faults).To(BeEmpty())
		Expect(table.EncodePages(reparsed)).To(Equal(pages))
	})
})

var _ = Describe("Apply", func() {
	newChange := func(key, text string) table.RowChange { return table.RowChange{Key: key, Text: text} }

	It("returns the same table as parsing the edited table", func() {
		base, _ := parseTable(sampleCSV())
		edited, faults := parseTable(strings.Replace(sampleCSV(), "radio,,", "radio,9,", 1) + "account,new,,,,,,,,,,,\n")
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

	It("reproduces any edit on a copy from the changed rows", func() {
		base, _ := parseTable(sampleCSV())
		for _, edited := range []string{
			sampleCSV(), sampleCSV() + "epoch,4,,,,,,,,,,,\n", sampleCSV() + "account,new,,,,,,,,,,,\n",
			strings.Replace(sampleCSV(), "account,radio,,,,,,,,,,,\n", "", 1),
			strings.Replace(sampleCSV(), "8000,60000", "9000,60000", 1) + "service,maps,,,,,,,lookup,,,,\n",
		} {
			next, faults := parseTable(edited)
			Expect(faults).To(BeEmpty())
			for _, pair := range [][2]*table.Table{{base, next}, {next, base}} {
				got, faults := pair[0].Apply(pair[1].Epoch, 7, table.ChangedRows(pair[0], pair[1]))
				Expect(faults).To(BeEmpty())
				Expect(got).To(Equal(pair[1]))
			}
		}
		edited, _ := base.Apply(0, 8, []table.RowChange{newChange("account/radio", "account,radio,3,0,0,0,,,,,,,")})
		Expect(table.ChangedRows(base, edited.WithDrainAndTargets(nil, nil))).To(HaveLen(1))
	})

	It("allows a key to move between accounts within one edit", func() {
		base, _ := parseTable(sampleCSV())
		got, faults := base.Apply(0, 8, []table.RowChange{
			newChange("account/radio", "account,radio,1,0,0,0,"+keyA+",,,,,,"),
			newChange("account/clinic-north", "account,clinic-north,1,0,0,0,"+keyB+",,,,,,"),
		})
		Expect(faults).To(BeEmpty())
		Expect(got.AccountByKeyHash[got.Accounts["radio"].KeyHashes[0]].Name).To(Equal("radio"))
	})

	DescribeTable("rejects changes that violate table-wide rules and leaves the table unmodified",
		func(key, text string) {
			base, _ := parseTable(sampleCSV())
			before := table.EncodePages(base)
			_, faults := base.Apply(0, 8, []table.RowChange{newChange(key, text)})
			Expect(faults).NotTo(BeEmpty())
			Expect(table.EncodePages(base)).To(Equal(before))
		},
		Entry("removal of a service in use", "service/reports", ""),
		Entry("duplicate key", "account/radio", "account,radio,1,0,0,0,"+keyA+",,,,,,"),
		Entry("row of another account", "account/radio", "account,clinic-south,1,0,0,0,,,,,,,"),
		Entry("text that is not a row", "account/radio", "nonsense"),
	)
})

var _ = Describe("Diff", func() {
	It("lists the affected rows and the changed columns", func() {
		old, _ := parseTable(sampleCSV())
		next, _ := parseTable(strings.Replace(strings.Replace(sampleCSV(), "2.5,40", "4,40", 1), "account,radio,,,,,,,,,,,\n", "", 1))
		diffs := table.Diff(old, next)
		Expect(diffs).To(HaveLen(2))
		Expect(diffs[0].String()).To(Equal("changed account clinic-north: weight 2.5 -> 4"))
		Expect(diffs[1].String()).To(HavePrefix("removed account radio"))
		Expect(table.Diff(old, old)).To(BeEmpty())
	})
})

func semicolonSampleCSV() string {
	r := strings.NewReplacer(keyA+";"+keyB, `"`+keyA+";"+keyB+`"`, "reports;bookings", `"reports;bookings"`, ",", ";")
	return r.Replace(sampleCSV())
}

func reorderedSampleCSV() string {
	return "name,kind,services,key_sha256,priority,tokens_per_second,max_running,weight,queue_limit,max_wait_ms,max_tokens,delivery,type\n" +
		"reports,service,,,,,,,500,60000,8000,whole,generation\n" +
		"bookings,service,,,,,,,,,,,once\n" +
		"clinic-north,account,reports;bookings," + keyA + ";" + keyB + ",3,900,40,2.5,,,,,\n" +
		"radio,account,,,,,,,,,,,\n"
}

// newTable parses a table of n accounts from pages of 5,000 rows.
func newTable(n int) *table.Table {
	lines := strings.SplitAfter(accountsCSV(n), "\n")
	var pages [][]byte
	for len(lines) > 0 {
		count := min(5000, len(lines))
		pages = append(pages, []byte(strings.Join(lines[:count], "")))
		lines = lines[count:]
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
	f.Add([]byte(sampleCSV()))
	f.Add([]byte(semicolonSampleCSV()))
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
		reparsed, faults := table.Parse(1, pages)
		if len(faults) > 0 {
			t.Fatalf("canonical form rejected: %v", faults)
		}
		if fmt.Sprint(table.EncodePages(reparsed)) != fmt.Sprint(pages) {
			t.Fatal("canonical form is not stable")
		}
	})
}

func BenchmarkParse(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 11_000} {
		pages := table.EncodePages(newTable(n))
		b.Run(fmt.Sprintf("accounts=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				table.Parse(1, pages)
			}
		})
	}
}

func BenchmarkChangesOfOneRow(b *testing.B) {
	t := newTable(11_000)
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
		t := newTable(n)
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
