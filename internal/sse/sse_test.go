package sse_test

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/failure"
	"filbertdeck/internal/sse"
)

func TestSSE(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "sse")
}

// readAll gives the events as texts "id|name|data", ":" for comments, and the
// error that ended the stream.
func readAll(in io.Reader, limit int) (out []string, err error) {
	r := sse.NewReader(in, limit)
	var ev sse.Event
	for {
		if err = r.Next(&ev); err != nil {
			return out, err
		}
		if ev.Comment {
			out = append(out, ":")
			continue
		}
		out = append(out, fmt.Sprintf("%s|%s|%s", ev.ID, ev.Name, ev.Data))
	}
}

var _ = Describe("the reader", func() {
	DescribeTable("splits a stream into events, however it is cut up",
		func(in string, want ...string) {
			for _, reader := range []io.Reader{strings.NewReader(in), iotest.OneByteReader(strings.NewReader(in))} {
				got, err := readAll(reader, 4096)
				Expect(err).To(Equal(io.EOF))
				Expect(got).To(Equal(want))
			}
		},
		Entry("events", "id: 1\ndata: a\n\nid:2\nevent: x\ndata:b\n\n", "1||a", "2|x|b"),
		Entry("line ends of both kinds", "data: a\r\n\r\ndata: b\n\n", "||a", "||b"),
		Entry("comments", ": keep-alive\n\n: more\ndata: a\n: within\n\n", ":", ":", "||a"),
		Entry("several data lines", "data: a\ndata:\ndata: c\n\n", "||a\n\nc"),
		Entry("fields between data lines", "data: a\nid: 7\ndata: b\nevent: e\ndata: c\n\n", "7|e|a\nb\nc"),
		Entry("fields in any order", "data: a\ndata: b\nid: 7\n\n", "7||a\nb"),
		Entry("unknown fields", "retry: 5\nfoo\ndata: a\n\n", "||a"),
		Entry("empty lines", "\n\n\ndata: a\n\n\n", "||a"),
		Entry("a second space", "data:  a\n\n", "|| a"),
	)

	It("takes lines longer than its buffer", func() {
		long := strings.Repeat("x", 10_000)
		got, err := readAll(strings.NewReader("data: "+long+"\n\n"), 0)
		Expect(err).To(Equal(io.EOF))
		Expect(got).To(Equal([]string{"||" + long}))
	})

	// An engine crashes in the middle of an event, its link breaks, or it
	// sends a line without end. Half an event must not pass for a whole one:
	// the caller would miss words that nobody knows of.
	DescribeTable("ends a broken stream with a type",
		func(in io.Reader, kind failure.Kind) {
			got, err := readAll(in, 64)
			Expect(got).To(Equal([]string{"||a"}))
			Expect(failure.KindOf(err)).To(Equal(kind))
			Expect(failure.FromError(err).Executed).To(Equal(failure.ExecutedUnknown))
		},
		Entry("within a line", strings.NewReader("data: a\n\ndata: b"), failure.KindTargetLost),
		Entry("within an event", strings.NewReader("data: a\n\ndata: b\n"), failure.KindTargetLost),
		Entry("by the link", io.MultiReader(strings.NewReader("data: a\n\n"), iotest.ErrReader(errors.New("reset"))), failure.KindTargetLost),
		Entry("too long a line", strings.NewReader("data: a\n\ndata: "+strings.Repeat("x", 100)), failure.KindTargetFailed),
		Entry("too long an event", strings.NewReader("data: a\n\n"+strings.Repeat("data: x\n", 100)), failure.KindTargetFailed),
	)

	It("reads the next stream after Reset", func() {
		r := sse.NewReader(strings.NewReader("data: half"), 0)
		var ev sse.Event
		Expect(r.Next(&ev)).NotTo(Succeed())
		r.Reset(strings.NewReader("data: new\n\n"))
		Expect(r.Next(&ev)).To(Succeed())
		Expect(string(ev.Data)).To(Equal("new"))
	})

	It("allocates nothing per event", func() {
		in := bytes.NewReader(bytes.Repeat([]byte("id: 1\ndata: {\"text\":\"w1\"}\n\n"), 2000))
		r := sse.NewReader(in, 0)
		var ev sse.Event
		Expect(testing.AllocsPerRun(1000, func() { _ = r.Next(&ev) })).To(BeZero())
	})
})

var _ = Describe("the writer", func() {
	It("writes what the reader reads", func() {
		out := sse.AppendEvent(nil, "7", "end", []byte("a\nb\n"))
		out = sse.AppendComment(out, "quiet")
		out = sse.AppendEventWithID(out, func(b []byte) []byte { return append(b, "h"...) }, "", []byte("c"))
		out = sse.AppendEvent(append(out, sse.KeepAlive...), "", "", nil)
		got, err := readAll(bytes.NewReader(out), 0)
		Expect(err).To(Equal(io.EOF))
		Expect(got).To(Equal([]string{"7|end|a\nb\n", ":", "h||c", ":", "||"}))
	})
})

// FuzzReader checks that any bytes end in io.EOF or a typed failure, within
// the limit, and that what was read is written and read back unchanged.
func FuzzReader(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\ndata: b\n\n: c\n\n"))
	f.Add([]byte("data: a\nid: 7\ndata: b\nevent: e\ndata: c\r\n\r\n"))
	f.Fuzz(func(t *testing.T, in []byte) {
		const limit = 200
		r := sse.NewReader(bytes.NewReader(in), limit)
		var ev sse.Event
		for {
			err := r.Next(&ev)
			if err == io.EOF {
				return
			}
			if err != nil {
				if kind := failure.KindOf(err); kind != failure.KindTargetLost && kind != failure.KindTargetFailed {
					t.Fatalf("untyped end: %v", err)
				}
				return
			}
			if len(ev.Data) > limit || ev.Comment {
				continue
			}
			want := fmt.Sprintf("%s|%s|%s", ev.ID, ev.Name, ev.Data)
			again, err := readAll(bytes.NewReader(sse.AppendEvent(nil, string(ev.ID), string(ev.Name), ev.Data)), 1<<20)
			if err != io.EOF || len(again) != 1 || again[0] != want {
				if strings.ContainsRune(want, '\r') {
					continue // a bare CR is data for us, and part of a line end once it stands before LF
				}
				t.Fatalf("%q came back as %q (%v)", want, again, err)
			}
		}
	})
}

func BenchmarkReader(b *testing.B) {
	event := []byte("id: 12\ndata: {\"generation\":\"g-0190a1b2\",\"offset\":11,\"text\":\"w11-0a1b2c \",\"tokens\":1,\"finish_reason\":null}\n\n")
	stream := bytes.Repeat(event, 1000)
	in := bytes.NewReader(stream)
	r := sse.NewReader(in, 0)
	var ev sse.Event
	b.ReportAllocs()
	for b.Loop() {
		if r.Next(&ev) != nil {
			in.Reset(stream)
			r.Reset(in)
		}
	}
}
