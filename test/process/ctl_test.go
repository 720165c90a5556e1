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

// runProgram runs a program of the product and returns its exit code and its
// combined output.
func runProgram(program string, args ...string) (int, string) {
	var out bytes.Buffer
	cmd := exec.Command(filepath.Join(binDir, program), args...)
	cmd.Stdout, cmd.Stderr = &out, &out
	_ = cmd.Run()
	return cmd.ProcessState.ExitCode(), out.String()
}

var _ = Describe("the operators' programs", func() {
	// controlFlags are the flags that list the addresses of all control
	// processes.
	var controlFlags []string

	BeforeEach(func() {
		controlFlags = nil
		for _, h := range deployment.Hosts {
			controlFlags = append(controlFlags, "--control", h.ControlAdminAddress)
		}
	})

	runCtl := func(command ...string) (int, string) {
		args := append(append([]string{}, command...), "--token", fleet.OperatorKey)
		return runProgram("filbertctl", append(args, controlFlags...)...)
	}

	It("show hosts, targets, accounts and the rollout of a running deployment", func() {
		for command, expected := range map[string]string{
			"hosts": deployment.Hosts[0].ControlAddress, "targets": deployment.Engines[0].Address, "accounts": "school", "table rollout": "table",
		} {
			code, out := runCtl(strings.Fields(command)...)
			Expect(code).To(Equal(0), out)
			Expect(out).To(ContainSubstring(expected), command)
		}
	})

	// One host is unreachable. A listing that omits it looks complete, and an
	// operator would conclude that an edit is in force on every host.
	It("name an unreachable host, and return a distinct exit code", func() {
		controlFlags = append(controlFlags, "--control", "127.0.0.1:1")
		code, out := runCtl("hosts")
		Expect(code).To(Equal(3), out)
		Expect(out).To(ContainSubstring("127.0.0.1:1"))
	})

	It("reject an invalid table before it is published, and the hosts reject it as well", func() {
		invalidTable := strings.Replace(tableText, "account,school,1,", "account,school,-1,", 1)
		file := filepath.Join(GinkgoT().TempDir(), "table.csv")
		Expect(os.WriteFile(file, []byte(invalidTable), 0o600)).To(Succeed())
		code, out := runProgram("filbertctl", "table", "check", file)
		Expect(code).To(Equal(1), out)
		Expect(out).To(And(ContainSubstring("weight"), ContainSubstring("-1")))
		DeferCleanup(func() { Expect(deployment.PutValue("table/0001", tableText)).To(Succeed()) })
		Expect(deployment.PutValue("table/0001", invalidTable)).To(Succeed())
		Eventually(func() string { _, out := runCtl("table", "rollout"); return out }).
			WithTimeout(10 * time.Second).Should(ContainSubstring("weight"))
		status, _, body := sendRequest(request{method: "GET", path: "/v1/services/sites/x", key: schoolKey})
		Expect(status).To(Equal(200), body)
	})

	It("report the error budget burn with the monitor's key, and nothing without a key", func() {
		keyFile := filepath.Join(GinkgoT().TempDir(), "key")
		Expect(os.WriteFile(keyFile, []byte(fleet.MonitorKey+"\n"), 0o600)).To(Succeed())
		code, out := runProgram("filbert-burn", append(controlFlags, "--key-file", keyFile)...)
		Expect(code).To(Equal(0), out)
		Expect(out).To(ContainSubstring("at most once"))
		code, out = runProgram("filbert-burn", controlFlags...)
		Expect(code).To(Equal(3), out)
		Expect(out).To(ContainSubstring("NOT READ"))
	})
})
