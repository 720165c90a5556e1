package configservice_test

import (
	"context"
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
)

func TestConfigService(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "configservice")
}

func client(handler http.HandlerFunc) *configservice.Client {
	server := httptest.NewServer(handler)
	DeferCleanup(server.Close)
	c, err := configservice.New(server.Listener.Addr().String(), nil)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(c.Close)
	return c
}

var _ = Describe("the client", func() {
	It("asks as the protocol says and reads the answer", func() {
		c := client(func(w http.ResponseWriter, r *http.Request) {
			Expect(r.URL.String()).To(Equal("/v1/values?after=4&prefix=table%2F&wait_ms=250"))
			fmt.Fprint(w, `{"revision":5,"keys":["table/0001"],"values":[{"key":"table/0001","revision":5,"value":"x"}]}`)
		})
		a, err := c.Watch(context.Background(), "table/", 4, 250*time.Millisecond)
		Expect(err).NotTo(HaveOccurred())
		Expect(a).To(Equal(configservice.Response{Revision: 5, Keys: []string{"table/0001"},
			Values: []configservice.Value{{Key: "table/0001", Revision: 5, Content: "x"}}}))
	})

	DescribeTable("gives each failure a type", func(handler http.HandlerFunc, kind failure.Kind, after time.Duration) {
		_, err := client(handler).Read(context.Background(), "", 0)
		Expect(failure.KindOf(err)).To(Equal(kind))
		Expect(failure.FromError(err).RetryAfter).To(Equal(after))
	},
		// Readers that ask again at once keep the service over its rate, and no
		// reader hears of an edit any more.
		Entry("rate used up", status(429, "Retry-After", "7"), failure.KindOverloaded, 7*time.Second),
		Entry("rate used up, no time given", status(429, "", ""), failure.KindOverloaded, time.Second),
		Entry("rate used up, absurd time", status(429, "Retry-After", "99999999"), failure.KindOverloaded, time.Minute),
		Entry("down", status(503, "", ""), failure.KindConfigUnreadable, time.Duration(0)),
		Entry("redirect", status(302, "Location", "http://127.0.0.1:1/"), failure.KindConfigUnreadable, time.Duration(0)),
		Entry("no JSON", body("<html>"), failure.KindConfigUnreadable, time.Duration(0)),
		Entry("endless", func(w http.ResponseWriter, _ *http.Request) {
			for range 33 {
				if _, err := w.Write(make([]byte, 1<<20)); err != nil {
					return
				}
			}
		}, failure.KindConfigUnreadable, time.Duration(0)),
	)

	// Something between us and the service has lost track of the connection:
	// nothing comes back and nothing is refused. Without a bound the reader
	// would wait for ever and edits would stop.
	It("gives up on a connection that has gone silent", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(l.Close)
		c, err := configservice.New(l.Addr().String(), nil)
		Expect(err).NotTo(HaveOccurred())
		_, err = c.Read(context.Background(), "", 0)
		Expect(failure.KindOf(err)).To(Equal(failure.KindConfigUnreadable))
	})

	It("takes only an address by number", func() {
		_, err := configservice.New("config.example:80", nil)
		Expect(failure.KindOf(err)).To(Equal(failure.KindSettingInvalid))
	})
})

func status(code int, header, value string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if header != "" {
			w.Header().Set(header, value)
		}
		w.WriteHeader(code)
	}
}

func body(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, text) }
}

var _ = Describe("documents", func() {
	const host = `{"name":"h1","data_centre":"north","entry":"10.0.0.1:80","control":"10.0.0.1:81","state":"live"}`

	It("keeps usable entries and counts the others", func() {
		hosts, dropped, err := configservice.ParseHosts(`{"hosts":[` + strings.Join([]string{host, host,
			strings.Replace(host, "10.0.0.1:80", "h1:80", 1), strings.Replace(host, "live", "gone", 1),
			strings.Replace(host, "north", "a\\tb", 1)}, ",") + `]}`)
		Expect(err).NotTo(HaveOccurred())
		Expect(dropped).To(Equal(configservice.DroppedEntries(4)))
		back, ok := configservice.ParseHostRow(hosts[0].Row())
		Expect(ok).To(BeTrue())
		Expect(back).To(Equal(hosts[0]))
	})

	It("refuses a host list that would take every host away", func() {
		for _, text := range []string{`{"hosts":[]}`, `{}`, `x`} {
			_, _, err := configservice.ParseHosts(text)
			Expect(failure.KindOf(err)).To(Equal(failure.KindConfigUnreadable))
		}
	})

	It("reads targets and the drain list", func() {
		targets, dropped, err := configservice.ParseTargets(`{"targets":[{"service":"s","address":"10.0.0.2:1","data_centre":"north","state":"leaving"},{"service":"s","address":"x"}]}`)
		Expect(err).NotTo(HaveOccurred())
		Expect(dropped).To(Equal(configservice.DroppedEntries(1)))
		back, ok := configservice.ParseTargetRow(targets[0].Row())
		Expect(ok).To(BeTrue())
		Expect(back).To(Equal(targets[0]))
		Expect(configservice.ParseDrainList("\ufeffnorth\r\n\r\n south \n")).To(Equal([]string{"north", "south"}))
	})
})

func FuzzDocuments(f *testing.F) {
	f.Add(`{"hosts":[{"name":"h","data_centre":"d","entry":"1.1.1.1:1","control":"1.1.1.1:2","state":"live"}]}`)
	f.Fuzz(func(t *testing.T, text string) {
		hosts, _, _ := configservice.ParseHosts(text)
		for _, h := range hosts {
			if back, ok := configservice.ParseHostRow(h.Row()); !ok || back != h {
				t.Fatalf("%+v came back as %+v", h, back)
			}
		}
		targets, _, _ := configservice.ParseTargets(text)
		for _, x := range targets {
			if back, ok := configservice.ParseTargetRow(x.Row()); !ok || back != x {
				t.Fatalf("%+v came back as %+v", x, back)
			}
		}
	})
}
