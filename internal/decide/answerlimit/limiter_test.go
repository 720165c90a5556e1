package answerlimit_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/decide/answerlimit"
)

func TestAnswerLimit(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "answerlimit")
}

var _ = Describe("a limiter of answers' memory", func() {
	const limit = 100
	var l *answerlimit.Limiter
	var evicted []string
	BeforeEach(func() { l, evicted = answerlimit.New(limit), nil })
	open := func(name string, lengthKnown bool) *answerlimit.Answer {
		return l.Open(lengthKnown, func() { evicted = append(evicted, name) })
	}

	// Guards against answers without end that together take more than a host has.
	It("never holds more than the limit", func() {
		for range 50 {
			a := open("endless", false)
			for range 30 {
				l.Grow(a, 7)
				Expect(l.Used()).To(BeNumerically("<=", limit))
			}
		}
	})

	// Guards against sound answers that fail since others have no end.
	It("evicts the largest answer without a known length, and no small one", func() {
		endless, small, known := open("endless", false), open("small", false), open("known", true)
		Expect(l.Grow(known, 50)).To(BeTrue())
		Expect(l.Grow(endless, 40)).To(BeTrue())
		Expect(l.Grow(small, 20)).To(BeTrue())
		Expect(evicted).To(Equal([]string{"endless"}))
		Expect(l.Grow(endless, 1)).To(BeFalse())
		Expect(l.Grow(known, 30)).To(BeTrue())
		Expect(l.Used()).To(Equal(100))
	})

	It("has the growing answer fail if it is the largest, or no other can be evicted", func() {
		small, endless := open("small", true), open("endless", false)
		Expect(l.Grow(small, 30)).To(BeTrue())
		Expect(l.Grow(endless, 60)).To(BeTrue())
		Expect(l.Grow(endless, 20)).To(BeFalse())
		Expect(l.Keep(small)).To(BeTrue())
		Expect(l.Grow(open("other", true), 80)).To(BeFalse())
		Expect(evicted).To(BeEmpty())
		l.Close(small)
		l.Close(small)
		Expect(l.Used()).To(BeZero())
	})

	// Guards against a few callers that read nothing and hold the memory of all answers.
	It("evicts the largest complete answer whose caller is slow to read it before an incomplete one", func() {
		unread, larger, growing := open("unread", true), open("larger", true), open("growing", true)
		slow := false
		for _, a := range []*answerlimit.Answer{unread, larger} {
			Expect(l.Keep(a)).To(BeTrue())
		}
		Expect(l.Grow(unread, 30)).To(BeTrue())
		Expect(l.Grow(larger, 40)).To(BeTrue())
		for name, a := range map[string]*answerlimit.Answer{"unread": unread, "larger": larger} {
			l.AllowEviction(a, func() bool { return slow }, func() { evicted = append(evicted, name) })
		}
		other := open("other", true)
		Expect(l.Grow(other, 40)).To(BeFalse())
		Expect(evicted).To(BeEmpty())
		slow = true
		Expect(l.Grow(growing, 50)).To(BeTrue())
		Expect(evicted).To(Equal([]string{"larger"}))
		Expect(l.Used()).To(Equal(80))
		l.Close(larger)
		Expect(l.Used()).To(Equal(80))
	})
})
