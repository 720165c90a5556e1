package process_test

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/fleet"
)

// run runs a program of the product and gives its exit code and output.
func run(program string, args ...string) (int, string) {
	var out bytes.Buffer
	cmd := exec.Command(filepath.Join(bin, program), args...)
	cmd.Stdout, cmd.Stderr = &out, &out
	_ = cmd.Run()
	return cmd.ProcessState.ExitCode(), out.String()
}

var _ = Describe("the operators' programs", func() {
	// controls are the flags that name every control process.
	var controls []string

	BeforeEach(func() {
		controls = nil
		for _, h := range deck.Hosts {
			controls = append(controls, "--control", h.ControlAdminAddress)
		}
	})

	ctl := func(command ...string) (int, string) {
		args := append(append([]string{}, command...), "--token", fleet.OperatorKey)
		return run("filbertctl", append(args, controls...)...)
	}

	It("show hosts, targets, accounts and the rollout of a running deployment", func() {
		for command, part := range map[string]string{
			"hosts": deck.Hosts[0].ControlAddress, "targets": deck.Engines[0].Address, "accounts": "school", "table rollout": "table",
		} {
			code, out := ctl(strings.Fields(command)...)
			Expect(code).To(Equal(0), out)
			Expect(out).To(ContainSubstring(part), command)
		}
	})

	// A host does not answer. A listing that leaves it out looks complete, and
	// an operator takes an edit for being in force everywhere.
	It("name a host that could not be asked, with an exit code of its own", func() {
		controls = append(controls, "--control", "127.0.0.1:1")
		code, out := ctl("hosts")
		Expect(code).To(Equal(3), out)
		Expect(out).To(ContainSubstring("127.0.0.1:1"))
	})

	It("refuse an edit before it is published, and the fleet refuses it as well", func() {
		bad := strings.Replace(tableText, "account,school,1,", "account,school,-1,", 1)
		file := filepath.Join(GinkgoT().TempDir(), "table.csv")
		Expect(os.WriteFile(file, []byte(bad), 0o600)).To(Succeed())
		code, out := run("filbertctl", "table", "check", file)
		Expect(code).To(Equal(1), out)
		Expect(out).To(And(ContainSubstring("weight"), ContainSubstring("-1")))
		DeferCleanup(func() { Expect(deck.PutValue("table/0001", tableText)).To(Succeed()) })
		Expect(deck.PutValue("table/0001", bad)).To(Succeed())
		Eventually(func() string { _, out := ctl("table", "rollout"); return out }).
			WithTimeout(10 * time.Second).Should(ContainSubstring("weight"))
		status, _, body := send(request{method: "GET", path: "/v1/services/sites/x", key: schoolKey})
		Expect(status).To(Equal(200), body)
	})

	It("report burn with the monitor's key, and nothing without a key", func() {
		keyFile := filepath.Join(GinkgoT().TempDir(), "key")
		Expect(os.WriteFile(keyFile, []byte(fleet.MonitorKey+"\n"), 0o600)).To(Succeed())
		code, out := run("filbert-burn", append(controls, "--key-file", keyFile)...)
		Expect(code).To(Equal(0), out)
		Expect(out).To(ContainSubstring("at most once"))
		code, out = run("filbert-burn", controls...)
		Expect(code).To(Equal(3), out)
		Expect(out).To(ContainSubstring("NOT READ"))
	})
})
