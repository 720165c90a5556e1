package streamorigin_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/decide/streamorigin"
	"filbertdeck/internal/directory"
)

func TestStreamOrigin(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "the origin of a stream")
}

var (
	first  = streamorigin.Origin{Service: "llm", Version: "v1"}
	second = streamorigin.Origin{Service: "llm", Version: "v2"}
	key    = streamorigin.KeyOf("clinic", "r-1")
)

func record(key streamorigin.Key, o streamorigin.Origin) streamorigin.Record {
	return streamorigin.Record{Key: key, Origin: o, Lifetime: 10 * time.Second}
}

var _ = DescribeTable("a target accepts a stream",
	func(o *streamorigin.Origin, service, version string, accepts bool) {
		Expect(o.Accepts(directory.Target{Service: service, Version: version})).To(Equal(accepts))
	},
	Entry("of its service and version", &first, "llm", "v1", true),
	Entry("of another version not", &first, "llm", "v2", false),
	Entry("of another service not", &first, "app", "v1", false),
	Entry("that has not begun", nil, "llm", "v2", true),
)

var _ = Describe("a registry", func() {
	var r *streamorigin.Registry
	BeforeEach(func() { r = streamorigin.NewRegistry() })

	// Guards against an account that finds the stream of another one by its id.
	It("tells accounts and attempts apart", func() {
		Expect(streamorigin.KeyOf("a", "bc")).NotTo(Equal(streamorigin.KeyOf("ab", "c")))
		r.Add(0, record(key, first))
		found, _ := r.Find(0, streamorigin.KeyOf("park", "r-1"))
		Expect(found).To(BeNil())
	})

	It("keeps a record for its lifetime, which a further try extends", func() {
		r.Add(0, record(key, first))
		r.Add(5*time.Second, record(key, first))
		found, _ := r.Find(14*time.Second, key)
		Expect(found).To(Equal(&first))
		found, _ = r.Find(15*time.Second, key)
		Expect(found).To(BeNil())
	})

	// Guards against an id that was used twice: neither version is certain.
	It("knows no origin of a stream for which two are recorded", func() {
		r.Add(0, record(key, first))
		r.Add(0, record(key, second))
		found, conflict := r.Find(0, key)
		Expect(found).To(BeNil())
		Expect(conflict).To(BeTrue())
	})

	// Guards against memory that grows with the streams of a day, or with a flood of them.
	It("stays small", func() {
		for i := range 200_000 {
			r.Add(time.Duration(i)*time.Millisecond, record(streamorigin.KeyOf("clinic", fmt.Sprint(i)), first))
			Expect(r.Len()).To(BeNumerically("<=", 11_000))
		}
		for i := range 50_000 {
			r.Add(300*time.Second, record(streamorigin.KeyOf("park", fmt.Sprint(i)), first))
		}
		Expect(r.Len()).To(BeNumerically("<=", 16384))
	})
})

var _ = DescribeTable("from hosts' answers", func(service string, answers []streamorigin.Answer, want *streamorigin.Origin, basis streamorigin.Basis) {
	got, why := streamorigin.Resolve(streamorigin.Question{Key: key, Service: service}, answers)
	Expect(got).To(Equal(want))
	Expect(why).To(Equal(basis))
},
	Entry("a record is taken, whatever hosts say of the versions", "llm",
		[]streamorigin.Answer{{Versions: streamorigin.One, Version: "v2"}, {Origin: &first, Versions: streamorigin.Several}}, &first, streamorigin.BasisRecord),
	Entry("records that differ say nothing", "llm", []streamorigin.Answer{{Origin: &first}, {Origin: &second}}, nil, streamorigin.BasisConflict),
	Entry("a host that was told of two origins outweighs one that was told of one", "llm",
		[]streamorigin.Answer{{Origin: &first}, {Conflict: true}}, nil, streamorigin.BasisConflict),
	Entry("the only version is taken, also from one host", "llm",
		[]streamorigin.Answer{{}, {Versions: streamorigin.One, Version: "v1"}}, &first, streamorigin.BasisOnlyVersion),
	Entry("one host that knows of several versions outweighs others", "llm",
		[]streamorigin.Answer{{Versions: streamorigin.One, Version: "v1"}, {Versions: streamorigin.Several}}, nil, streamorigin.BasisSeveral),
	Entry("hosts that know of different versions know of several together", "llm",
		[]streamorigin.Answer{{Versions: streamorigin.One, Version: "v1"}, {Versions: streamorigin.One, Version: "v2"}}, nil, streamorigin.BasisSeveral),
	Entry("nothing follows if no host is sure", "llm", []streamorigin.Answer{{}, {}}, nil, streamorigin.BasisUnsure),
	Entry("nothing follows from no answer", "llm", nil, nil, streamorigin.BasisUnsure),
	Entry("nothing follows from versions if several services may have begun it", "",
		[]streamorigin.Answer{{Versions: streamorigin.One, Version: "v1"}}, nil, streamorigin.BasisUnsure),
)
