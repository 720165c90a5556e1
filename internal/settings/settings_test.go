package settings_test

import (
	"io"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/failure"
	"filbertdeck/internal/settings"
)

func TestSettings(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "settings")
}

type testSettings struct {
	Listen string        `arg:"--listen,env:SAMPLE_LISTEN" check:"hostport" default:"127.0.0.1:1"`
	Wait   time.Duration `arg:"--wait,env:SAMPLE_WAIT" check:"1s..1m" default:"2s"`
	Count  int           `arg:"--count,env:SAMPLE_COUNT" check:"1..10" default:"3"`
	Form   string        `arg:"--form,env:SAMPLE_FORM" check:"text|json" default:"text"`
	File   string        `arg:"--file,env:SAMPLE_FILE" check:"file?"`
	Peers  []string      `arg:"--peers,env:SAMPLE_PEERS" check:"hostport"`
	Secret string        `arg:"--secret,env:SAMPLE_SECRET" check:"text|x" default:"x" secret:"true"`
}

func (testSettings) Version() string { return "1" }

var _ = Describe("a process's settings", func() {
	parse := func(args ...string) error {
		return settings.Parse("sample", "about", &testSettings{}, args, io.Discard)
	}

	// A process that starts with a mistyped value would listen on the wrong
	// address or wait forever without a visible cause.
	DescribeTable("are rejected with flag, variable, value and allowed values",
		func(args []string, parts ...string) {
			err := parse(args...)
			Expect(failure.KindOf(err)).To(Equal(failure.KindSettingInvalid))
			for _, part := range parts {
				Expect(err.Error()).To(ContainSubstring(part))
			}
		},
		Entry("a name instead of an IP address", []string{"--listen", "localhost:80"}, "--listen", "SAMPLE_LISTEN", "localhost:80", "ip:port"),
		Entry("a duration out of range", []string{"--wait", "2m"}, "--wait", "SAMPLE_WAIT", "2m0s", "1s to 1m"),
		Entry("a number that cannot be parsed", []string{"--count", "many"}, "--count", "SAMPLE_COUNT", "many", "1 to 10"),
		Entry("a number out of range", []string{"--count=11"}, "--count", "11", "1 to 10"),
		Entry("a value that is not among the choices", []string{"--form", "xml"}, "--form", "xml", "text, json"),
		Entry("a missing file", []string{"--file", "no-such-file"}, "--file", "no-such-file", "cannot be read"),
		Entry("one invalid item of a list", []string{"--peers", "127.0.0.1:1", "127.0.0.1"}, "--peers", "127.0.0.1"),
		Entry("a flag that does not exist", []string{"--lisen", "127.0.0.1:1"}, "--lisen"),
		Entry("two invalid values at once", []string{"--count", "0", "--form", "xml"}, "--count", "--form"),
	)

	It("omits a secret from the error", func() {
		err := parse("--secret", "hunter2")
		Expect(err).To(HaveOccurred())
		Expect(err.Error()).NotTo(ContainSubstring("hunter2"))
	})

	It("names the environment variable that has the invalid value", func() {
		GinkgoT().Setenv("SAMPLE_COUNT", "none")
		err := parse()
		Expect(err.Error()).To(And(ContainSubstring("SAMPLE_COUNT"), ContainSubstring("none")))
	})

	It("prints help and version without an error", func() {
		for _, flag := range []string{"--help", "--version"} {
			Expect(settings.IsHelp(parse(flag))).To(BeTrue(), flag)
		}
	})
})
