package gateway_test

import (
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/gateway"
	"filbertdeck/platform/standin"
)

// limitedTo is a good answer that names the rate its target takes.
func limitedTo(perSecond string) string {
	return strings.Replace(goodPlain, "Content-Length", standin.HeaderServerLimit+": "+perSecond+"\nContent-Length", 1)
}

var _ = Describe("a target that names the rate it takes", func() {
	const hosts = 8
	fleet := func(targets ...*target) []*deck {
		var decks []*deck
		for i := range hosts {
			d := startDeck()
			d.loads.SetColdRateLimit(gateway.ColdRateLimit{Rank: func(string) (int, int) { return i, hosts }})
			decks = append(decks, d)
			for _, t := range targets {
				d.add(t.entry("app", "dc-1"))
			}
		}
		return decks
	}

	// Guards against hosts that together send more than the target takes, while
	// another target has room.
	It("gets that from all hosts together, and the others get the rest", func() {
		const each = 12
		limited, free := startTarget("i-1", say(limitedTo("2.0"))), startTarget("i-2", say(goodPlain))
		decks := fleet(limited, free)
		begun := time.Now()
		for range each {
			for _, d := range decks {
				Expect(d.do(d.request("POST", "/book/")).status).To(Equal(http.StatusOK))
			}
		}
		span := max(time.Since(begun).Seconds(), 4)
		// Each host sends one before it is told.
		Expect(len(limited.requests()) - hosts).To(BeNumerically("<=", 1.5*2*span+5))
	})

	// Guards against callers that wait, or get a failure after their request has
	// run, when no target of a service takes more.
	It("has callers refused at once, with the time to come back, when all are at their rate", func() {
		limited := startTarget("i-1", say(limitedTo("0.5")))
		d := fleet(limited)[0]
		refused := 0
		for range 30 {
			got := d.do(d.request("POST", "/book/"))
			if got.status != http.StatusServiceUnavailable {
				Expect(got.status).To(Equal(http.StatusOK))
				continue
			}
			refused++
			Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
		}
		Expect(refused).To(BeNumerically(">=", 15))
		Expect(len(limited.requests())).To(Equal(30 - refused))
	})
})
