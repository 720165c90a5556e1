package command_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/standin/command"
	"filbertdeck/internal/standin/web"
)

func TestCommand(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "filbert-standin")
}

var _ = DescribeTable("the program ends at once", func(args string, code int, out, errOut string) {
	var o, e bytes.Buffer
	Expect(command.Main(strings.Fields(args), &o, &e)).To(Equal(code))
	Expect(o.String()).To(ContainSubstring(out))
	Expect(e.String()).To(ContainSubstring(errOut))
},
	Entry("help", "--help", 0, "platform | engine | app", ""),
	Entry("help of one", "engine --help", 0, "--memory-tokens", ""),
	Entry("version", "--version", 0, "filbert-standin", ""),
	Entry("no stand-in", "", 2, "", `first argument is ""; allowed: platform, engine, app`),
	Entry("wrong value", "engine --fall-over sleep", 2, "", `--fall-over (FILBERT_STANDIN_FALL_OVER) is "sleep"`),
	Entry("wrong address", "app --listen here", 2, "", "allowed: ip:port"),
	Entry("address not ours", "platform --listen 192.0.2.1:1", 1, "", "can't be listened on"),
)

var _ = It("tells where it listens and stops within its time", func() {
	var out bytes.Buffer
	l, err := web.Listen("127.0.0.1:0", http.NotFoundHandler(), &out)
	Expect(err).NotTo(HaveOccurred())
	Expect(out.String()).To(Equal("listening " + l.Address() + "\n"))
	resp, err := http.Get("http://" + l.Address() + "/")
	Expect(err).NotTo(HaveOccurred())
	_, _ = io.Copy(io.Discard, resp.Body)
	Expect(l.Stop(context.Background())).To(Succeed())
})
