package ctl_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/ctl"
)

var (
	fileBlock    = regexp.MustCompile("(?s)```json ([a-z-]+\\.json)\n(.*?)```")
	consoleBlock = regexp.MustCompile("(?s)```console\n(.*?)```")
)

var _ = Describe("check-config", func() {
	// Guards against a page that shows outputs or exit codes of an earlier
	// version of the command.
	It("prints what the operators' page shows", func() {
		page, err := os.ReadFile("../../docs/operators/check-config.md")
		Expect(err).NotTo(HaveOccurred())
		GinkgoT().Chdir(GinkgoT().TempDir())
		for _, m := range fileBlock.FindAllStringSubmatch(string(page), -1) {
			Expect(os.WriteFile(m[1], []byte(m[2]), 0o600)).To(Succeed())
		}
		before := fileNames()
		commands := 0
		for _, m := range consoleBlock.FindAllStringSubmatch(string(page), -1) {
			commands += expectConsole(m[1])
		}
		Expect(commands).To(Equal(4))
		Expect(fileNames()).To(Equal(before), "the command writes nothing")
	})

	// Scripts that publish a configuration stop at any other exit code.
	It("returns 0 for warnings alone", func() {
		path := filepath.Join(GinkgoT().TempDir(), "c.json")
		Expect(os.WriteFile(path, []byte(`{"version":1}`), 0o600)).To(Succeed())
		code, out, _ := runCtl("check-config", path)
		Expect(code).To(Equal(ctl.ExitOK))
		Expect(out).To(HaveSuffix("valid: 0 errors, 1 warning\n"))
	})

	It("prints findings with their places as JSON", func() {
		path := filepath.Join(GinkgoT().TempDir(), "c.json")
		Expect(os.WriteFile(path, []byte(`{"version":0}`), 0o600)).To(Succeed())
		code, out, _ := runCtl("--json", "check-config", path)
		Expect(code).To(Equal(ctl.ExitFault))
		Expect(json.Valid([]byte(out))).To(BeTrue())
		Expect(out).To(And(ContainSubstring(`"place": "version"`), ContainSubstring(`"column": 12`), Not(ContainSubstring("differences"))))
	})

	DescribeTable("rejects files that it can't read", func(contains string, args ...string) {
		code, out, errs := runCtl(args...)
		Expect(code).To(Equal(ctl.ExitUsage))
		Expect(out).NotTo(ContainSubstring("valid"))
		Expect(errs).To(ContainSubstring(contains))
	},
		Entry("no file", "Usage", "check-config"),
		Entry("missing file", "configuration file /nonexistent.json", "check-config", "/nonexistent.json"),
		Entry("missing other version", "configuration file /nonexistent.json", "check-config", "testdata/empty-config.json", "--against", "/nonexistent.json"),
	)
})

func fileNames() []string {
	GinkgoHelper()
	entries, err := os.ReadDir(".")
	Expect(err).NotTo(HaveOccurred())
	names := []string{}
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names
}

// expectConsole runs the commands of a console block and compares their outputs and
// exit codes. It returns the number of commands.
func expectConsole(block string) int {
	GinkgoHelper()
	commands, code := 0, 0
	for step := range strings.SplitSeq(strings.TrimPrefix(block, "$ "), "\n$ ") {
		line, want, _ := strings.Cut(step, "\n")
		want = strings.TrimSpace(want)
		if line == "echo $?" {
			Expect(strconv.Itoa(code)).To(Equal(want))
			continue
		}
		args := strings.Fields(line)
		Expect(args[0]).To(Equal("filbertctl"))
		var out, errs string
		code, out, errs = runCtl(args[1:]...)
		Expect(strings.TrimSpace(out+errs)).To(Equal(want), line)
		commands++
	}
	return commands
}
