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

var _ = DescribeTable("the program exits without serving", func(args string, wantCode int, wantOut, wantErrOut string) {
	var stdout, stderr bytes.Buffer
	Expect(command.Main(strings.Fields(args), &stdout, &stderr)).To(Equal(wantCode))
	Expect(stdout.String()).To(ContainSubstring(wantOut))
	Expect(stderr.String()).To(ContainSubstring(wantErrOut))
},
	Entry("help", "--help", 0, "platform | engine | app", ""),
	Entry("help of one service", "engine --help", 0, "--memory-tokens", ""),
	Entry("version", "--version", 0, "filbert-standin", ""),
	Entry("no service named", "", 2, "", `first argument is ""; allowed: platform, engine, app`),
	Entry("wrong value", "engine --fall-over sleep", 2, "", `--fall-over (FILBERT_STANDIN_FALL_OVER) is "sleep"`),
	Entry("wrong address", "app --listen here", 2, "", "allowed: ip:port"),
	Entry("address of another host", "platform --listen 192.0.2.1:1", 1, "", "can't be listened on"),
)

var _ = It("prints its listen address and shuts down", func() {
	var stdout bytes.Buffer
	listener, err := web.Listen("127.0.0.1:0", http.NotFoundHandler(), &stdout)
	Expect(err).NotTo(HaveOccurred())
	Expect(stdout.String()).To(Equal("listening " + listener.Address() + "\n"))
	resp, err := http.Get("http://" + listener.Address() + "/")
	Expect(err).NotTo(HaveOccurred())
	_, _ = io.Copy(io.Discard, resp.Body)
	Expect(listener.Stop(context.Background())).To(Succeed())
})
