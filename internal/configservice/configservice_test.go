package configservice_test

import (
	"bufio"
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/configservice"
	"filbertdeck/internal/failure"
	"filbertdeck/internal/httpcheck"
	"filbertdeck/internal/tcpconn/cuttest"
)

func TestConfigService(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "configservice")
}

func newClient(handler http.HandlerFunc) *configservice.Client {
	server := httptest.NewServer(handler)
	DeferCleanup(server.Close)
	c, err := configservice.New(server.Listener.Addr().String(), nil)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(c.Close)
	return c
}

var _ = Describe("the client", func() {
	It("sends the request that the protocol specifies and decodes the response", func() {
		c := newClient(func(w http.ResponseWriter, r *http.Request) {
			Expect(r.URL.String()).To(Equal("/v1/values?after=4&prefix=table%2F&wait_ms=250"))
			fmt.Fprint(w, `{"revision":5,"keys":["table/0001"],"values":[{"key":"table/0001","revision":5,"value":"x"}]}`)
		})
		a, err := c.Watch(context.Background(), "table/", 4, 250*time.Millisecond)
		Expect(err).NotTo(HaveOccurred())
		Expect(a).To(Equal(configservice.Response{Revision: 5, Keys: []string{"table/0001"},
			Values: []configservice.Value{{Key: "table/0001", Revision: 5, Content: "x"}}}))
	})

	DescribeTable("returns the error kind and retry delay of each failure", func(handler http.HandlerFunc, kind failure.Kind, after time.Duration) {
		_, err := newClient(handler).Read(context.Background(), "", 0)
		Expect(failure.KindOf(err)).To(Equal(kind))
		Expect(failure.FromError(err).RetryAfter).To(Equal(after))
	},
		// Guards against retries without a delay: they keep the service above
		// its rate limit, so that no reader learns of an edit any more.
		Entry("rate limit exceeded", respondWithStatus(429, "Retry-After", "7"), failure.KindOverloaded, 7*time.Second),
		Entry("rate limit exceeded, no Retry-After", respondWithStatus(429, "", ""), failure.KindOverloaded, time.Second),
		Entry("rate limit exceeded, excessive Retry-After", respondWithStatus(429, "Retry-After", "99999999"), failure.KindOverloaded, time.Minute),
		Entry("service unavailable", respondWithStatus(503, "", ""), failure.KindConfigUnreadable, time.Duration(0)),
		Entry("redirect", respondWithStatus(302, "Location", "http://127.0.0.1:1/"), failure.KindConfigUnreadable, time.Duration(0)),
		Entry("not JSON", respondWithBody("<html>"), failure.KindConfigUnreadable, time.Duration(0)),
		Entry("oversized response", func(w http.ResponseWriter, _ *http.Request) {
			for range 33 {
				if _, err := w.Write(make([]byte, 1<<20)); err != nil {
					return
				}
			}
		}, failure.KindConfigUnreadable, time.Duration(0)),
	)

	// Guards against waiting forever on a connection whose state a middlebox
	// has lost: the peer neither responds nor resets it. Without a timeout
	// edits would no longer arrive.
	It("times out on an unresponsive connection", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		c, err := configservice.New(listener.Addr().String(), nil)
		Expect(err).NotTo(HaveOccurred())
		_, err = c.Read(context.Background(), "", 0)
		Expect(failure.KindOf(err)).To(Equal(failure.KindConfigUnreadable))
	})

	It("accepts only a numeric address", func() {
		_, err := configservice.New("config.example:80", nil)
		Expect(failure.KindOf(err)).To(Equal(failure.KindSettingInvalid))
	})
})

func respondWithStatus(code int, header, value string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if header != "" {
			w.Header().Set(header, value)
		}
		w.WriteHeader(code)
	}
}

func respondWithBody(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, text) }
}

var _ = Describe("documents", func() {
	const host = `{"name":"h1","data_centre":"north","entry":"10.0.0.1:80","control":"10.0.0.1:81","state":"live"}`

	It("returns valid entries and counts the others", func() {
		hosts, dropped, err := configservice.ParseHosts(`{"hosts":[` + strings.Join([]string{host, host,
			strings.Replace(host, "10.0.0.1:80", "h1:80", 1), strings.Replace(host, "live", "gone", 1),
			strings.Replace(host, "north", "a\\tb", 1)}, ",") + `]}`)
		Expect(err).NotTo(HaveOccurred())
		Expect(dropped).To(Equal(configservice.DroppedEntries(4)))
		parsedHost, ok := configservice.ParseHostRow(hosts[0].Row())
		Expect(ok).To(BeTrue())
		Expect(parsedHost).To(Equal(hosts[0]))
	})

	It("rejects a host list that would remove every host", func() {
		for _, text := range []string{`{"hosts":[]}`, `{}`, `x`} {
			_, _, err := configservice.ParseHosts(text)
			Expect(failure.KindOf(err)).To(Equal(failure.KindConfigUnreadable))
		}
	})

	It("parses targets and the drain list", func() {
		targets, dropped, err := configservice.ParseTargets(`{"targets":[{"service":"s","address":"10.0.0.2:1","data_centre":"north","state":"leaving"},{"service":"s","address":"x"}]}`)
		Expect(err).NotTo(HaveOccurred())
		Expect(dropped).To(Equal(configservice.DroppedEntries(1)))
		parsedTarget, ok := configservice.ParseTargetRow(targets[0].Row())
		Expect(ok).To(BeTrue())
		Expect(parsedTarget).To(Equal(targets[0]))
		Expect(configservice.ParseDrainList("\ufeffnorth\r\n\r\n south \n")).To(Equal([]string{"north", "south"}))
	})
})

func FuzzDocuments(f *testing.F) {
	f.Add(`{"hosts":[{"name":"h","data_centre":"d","entry":"1.1.1.1:1","control":"1.1.1.1:2","state":"live"}]}`)
	f.Fuzz(func(t *testing.T, text string) {
		hosts, _, _ := configservice.ParseHosts(text)
		for _, host := range hosts {
			if parsed, ok := configservice.ParseHostRow(host.Row()); !ok || parsed != host {
				t.Fatalf("%+v was parsed back as %+v", host, parsed)
			}
		}
		targets, _, _ := configservice.ParseTargets(text)
		for _, target := range targets {
			if parsed, ok := configservice.ParseTargetRow(target.Row()); !ok || parsed != target {
				t.Fatalf("%+v was parsed back as %+v", target, parsed)
			}
		}
	})
}

// Guards against a service that is not reached, or not checked, over TLS.
var _ = It("reads and checks over TLS", func() {
	invalid := false
	server := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !invalid {
			_, _ = fmt.Fprint(w, `{"revision":5}`)
			return
		}
		conn, _, err := http.NewResponseController(w).Hijack()
		Expect(err).NotTo(HaveOccurred())
		_, _ = fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nRetry After: 1\r\nContent-Length: 14\r\n\r\n{\"revision\":6}")
		_ = conn.Close()
	}))
	DeferCleanup(server.Close)
	roots := x509.NewCertPool()
	roots.AddCert(server.Certificate())
	c, err := configservice.New(server.Listener.Addr().String(), &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS13})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(c.Close)
	response, err := c.Read(context.Background(), "", 0)
	Expect(err).NotTo(HaveOccurred())
	Expect(response.Revision).To(BeEquivalentTo(5))
	invalid = true
	_, err = c.Read(context.Background(), "", 0)
	var broken *httpcheck.Error
	Expect(errors.As(err, &broken)).To(BeTrue())
})

// Guards against a table that is read from an invalid response.
var _ = DescribeTable("an invalid response", func(head string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			_, _ = fmt.Fprint(conn, head+"Content-Length: 14\r\n\r\n{\"revision\":5}")
		}
	}()
	c, err := configservice.New(l.Addr().String(), nil)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(c.Close)
	_, err = c.Read(context.Background(), "", 0)
	Expect(failure.KindOf(err)).To(Equal(failure.KindConfigUnreadable))
	var invalid *httpcheck.Error
	Expect(errors.As(err, &invalid)).To(BeTrue())
},
	Entry("with status 000", "HTTP/1.1 000 Trouble\r\n"),
	Entry("with a blank in a name", "HTTP/1.1 200 OK\r\nRetry After: 1\r\n"),
	Entry("with chunks in an older version", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n"),
)

// Guards against a table that is read from the part of a response.
var _ = DescribeTable("a response that is cut off", func(encrypted bool) {
	var config *tls.Config
	var wrap func(net.Conn) net.Conn
	if encrypted {
		server := httptest.NewTLSServer(nil)
		DeferCleanup(server.Close)
		roots := x509.NewCertPool()
		roots.AddCert(server.Certificate())
		config = &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS13}
		wrap = func(conn net.Conn) net.Conn {
			return tls.Server(conn, &tls.Config{Certificates: server.TLS.Certificates, MinVersion: tls.VersionTLS13})
		}
	}
	server, err := cuttest.Start("HTTP/1.1 200 OK\r\n\r\n{\"revision\":5}", wrap)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(server.Close)
	c, err := configservice.New(server.Address(), config)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(c.Close)
	for range 2 * len(cuttest.Pauses) {
		_, err = c.Read(context.Background(), "table/", 0)
		Expect(failure.KindOf(err)).To(Equal(failure.KindConfigUnreadable))
	}
},
	Entry("without TLS", false),
	Entry("over TLS", true),
)
