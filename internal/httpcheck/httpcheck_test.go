package httpcheck_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/iotest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/failure"
	"filbertdeck/internal/httpcheck"
)

func TestHTTPCheck(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "httpcheck")
}

// textConn is a connection on which a text arrives.
type textConn struct {
	net.Conn
	from io.Reader
}

func (c textConn) Read(p []byte) (int, error) { return c.from.Read(p) }
func (textConn) Close() error                 { return nil }

// read reads a final response that arrives through a reader, and its body.
func read(from io.Reader) (*http.Response, string, error) {
	conn := httpcheck.NewConn(textConn{from: from})
	resp, err := httpcheck.ReadResponse(conn, bufio.NewReader(conn), nil)
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}

// partOf returns the part that an error calls invalid; empty for another error.
func partOf(err error) httpcheck.Part {
	var invalid *httpcheck.Error
	if errors.As(err, &invalid) {
		return invalid.Part
	}
	return ""
}

const sized = "Content-Length: 2\r\n\r\nok"

var invalidResponses = map[string]httpcheck.Part{
	"HTTP/1.1 000 Trouble\r\n" + sized:                                           httpcheck.PartStatus,
	"HTTP/1.1 600 Trouble\r\n" + sized:                                           httpcheck.PartStatus,
	"HTTP/1.1 +20 OK\r\n" + sized:                                                httpcheck.PartStatus,
	"HTTP/1.1 2000 OK\r\n" + sized:                                               httpcheck.PartStatus,
	"HTTP/1.1\r\n" + sized:                                                       httpcheck.PartStatus,
	"HTTP/1.1 101 Switching Protocols\r\n\r\n":                                   httpcheck.PartStatus,
	"HTTP/2.0 200 OK\r\n" + sized:                                                httpcheck.PartVersion,
	"HTTP/1 200 OK\r\n" + sized:                                                  httpcheck.PartVersion,
	"HTTP/1.1\t200 OK\r\n" + sized:                                               httpcheck.PartVersion,
	"HTTP/1.1 200 OK\r\nA B: c\r\n" + sized:                                      httpcheck.PartFieldName,
	"HTTP/1.1 200 OK\r\nA : c\r\n" + sized:                                       httpcheck.PartFieldName,
	"HTTP/1.1 200 OK\nA : c\n\n":                                                 httpcheck.PartFieldName,
	"HTTP/1.1 200 OK\r\nA\x7f: c\r\n" + sized:                                    httpcheck.PartFieldName,
	"HTTP/1.1 200 OK\r\n: c\r\n" + sized:                                         httpcheck.PartFieldName,
	"HTTP/1.1 200 OK\r\nA: \x00\r\n" + sized:                                     httpcheck.PartFieldValue,
	"HTTP/1.1 200 OK\r\nA: b\r\r\n" + sized:                                      httpcheck.PartFieldValue,
	"HTTP/1.1 200 OK\r\nA: b\r\n \x01\r\n" + sized:                               httpcheck.PartFieldValue,
	"HTTP/1.1 200 OK\r\nA\r\n" + sized:                                           httpcheck.PartFieldLine,
	"HTTP/1.1 200 OK\r\n A: b\r\n" + sized:                                       httpcheck.PartFieldLine,
	"HTTP/1.1 200 OK\r\n\r\r\n" + sized:                                          httpcheck.PartFieldLine,
	"HTTP/1.0 200 OK\r\ntransfer-encoding: chunked\r\n" + sized:                  httpcheck.PartFraming,
	"HTTP/1.0 200 OK\r\nTransfer-Encoding:\r\n chunked\r\n" + sized:              httpcheck.PartFraming,
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked, chunked\r\n" + sized:         httpcheck.PartFraming,
	"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n" + sized:                           httpcheck.PartFraming,
	"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n 2\r\n\r\nok":                       httpcheck.PartFraming,
	"HTTP/1.1 200 OK\r\nContent-Length: 99999999999999999999\r\n\r\nok":          httpcheck.PartFraming,
	"HTTP/1.1 103 Hints\r\nA B: c\r\n\r\nHTTP/1.1 200 OK\r\n" + sized:            httpcheck.PartFieldName,
	"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 Trouble\r\n" + sized:              httpcheck.PartStatus,
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nA B: c\r\n\r\n":   httpcheck.PartTrailer,
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nA\x01: c\r\n\r\n": httpcheck.PartTrailer,
}

var soundResponses = []string{
	"HTTP/1.1 200 OK\r\n" + sized,
	"HTTP/1.1 200\r\n" + sized,
	"HTTP/1.1  599  Odd\r\n" + sized,
	"HTTP/1.9 200 OK\r\n" + sized,
	"HTTP/1.0 200 OK\r\n\r\nok",
	"HTTP/1.1 200 OK\nA: b\nContent-Length: 2\n\nok",
	"HTTP/1.1 200 \x01\r\n" + sized,
	"HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~: \xe9\r\n" + sized,
	"HTTP/1.1 200 OK\r\nA: b\r\n\tc\r\n \r\n" + sized,
	"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" + sized,
	"HTTP/1.1 200 OK\r\nContent-Length:\r\n 2\r\n\r\nok",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding:\r\n Chunked\r\nContent-Length: 9\r\n\r\n2;a=b\r\nok\r\n0\r\nA: b\r\n\r\n",
	"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" + sized,
}

// arrivals are the ways in which a text may arrive.
var arrivals = map[string]func(text string) io.Reader{
	"at once":      func(text string) io.Reader { return strings.NewReader(text) },
	"byte by byte": func(text string) io.Reader { return iotest.OneByteReader(strings.NewReader(text)) },
	"in halves":    func(text string) io.Reader { return iotest.HalfReader(strings.NewReader(text)) },
}

var _ = Describe("a response", func() {
	for name, arrive := range arrivals {
		// Guards against an invalid response that passes the check.
		It("is refused with the part that is invalid, arriving "+name, func() {
			for text, part := range invalidResponses {
				_, _, err := read(arrive(text))
				Expect(partOf(err)).To(Equal(part), text)
			}
		})

		// Guards against a check that refuses what the RFCs allow.
		It("is read if it is sound, arriving "+name, func() {
			for _, text := range soundResponses {
				_, body, err := read(arrive(text))
				Expect(err).NotTo(HaveOccurred(), text)
				Expect(body).To(Equal("ok"), text)
			}
		})
	}

	// Guards against bytes of another protocol that are named as a part of a response.
	It("is left to net/http if it does not begin like one", func() {
		_, _, err := read(strings.NewReader("???\r\n\r\n"))
		Expect(err).To(HaveOccurred())
		Expect(partOf(err)).To(BeEmpty())
	})

	// Guards against values, which may be secret, and names without bound in logs.
	It("is named without its values, and in part", func() {
		_, _, err := read(strings.NewReader("HTTP/1.1 200 OK\r\nA: secret\x01\r\n\r\n"))
		Expect(err).To(MatchError(`invalid response: field value "A"`))
		_, _, err = read(strings.NewReader("HTTP/1.1 200 OK\r\nsecret\r\n\r\n"))
		Expect(err).To(MatchError(`invalid response: field line ""`))
		_, _, err = read(strings.NewReader("HTTP/1.1 200 OK\r\n " + strings.Repeat("x", 1000) + "\r\n\r\n"))
		Expect(len(err.Error())).To(BeNumerically("<", 200))
		_, _, err = read(strings.NewReader("HTTP/1.1 200 OK\r\nA " + strings.Repeat("x", 1000) + ": b\r\n\r\n"))
		Expect(len(err.Error())).To(BeNumerically("<", 200))
	})

	// Guards against a target that answered and counts as one that did not run the request.
	It("leaves open whether its request ran if it is invalid", func() {
		_, _, err := read(strings.NewReader("HTTP/1.1 000 Trouble\r\n\r\n"))
		var invalid *httpcheck.Error
		Expect(errors.As(err, &invalid)).To(BeTrue())
		Expect(invalid.Failure().Kind).To(Equal(failure.KindTargetFailed))
		Expect(invalid.Failure().Executed).To(Equal(failure.ExecutedUnknown))
	})

	// Guards against an invalid response that another process read and passes on.
	DescribeTable("is checked after it was read elsewhere", func(status int, name, value string, part httpcheck.Part) {
		invalid := httpcheck.Response(&http.Response{StatusCode: status, Header: http.Header{name: {"b", value}}})
		if part == "" {
			Expect(invalid).To(BeNil())
			return
		}
		Expect(invalid).NotTo(BeNil())
		Expect(invalid.Part).To(Equal(part))
	},
		Entry(nil, 200, "A", "\xe9", httpcheck.Part("")),
		Entry(nil, 599, "A", "", httpcheck.Part("")),
		Entry(nil, 0, "A", "b", httpcheck.PartStatus),
		Entry(nil, 101, "A", "b", httpcheck.PartStatus),
		Entry(nil, 103, "A", "b", httpcheck.PartStatus),
		Entry(nil, 600, "A", "b", httpcheck.PartStatus),
		Entry(nil, 200, "A ", "b", httpcheck.PartFieldName),
		Entry(nil, 200, "A", "b\r\nC: d", httpcheck.PartFieldValue),
	)
})

var _ = Describe("a transport", func() {
	// serve answers the first request of each connection with a text, later ones with a sound
	// response, and counts the connections.
	serve := func(first string) (url string, connections *atomic.Int64) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(l.Close)
		connections = &atomic.Int64{}
		go func() {
			for {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				answer := first
				if connections.Add(1) > 1 {
					answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
				}
				go func() {
					defer func() { _ = conn.Close() }()
					in := bufio.NewReader(conn)
					for {
						r, err := http.ReadRequest(in)
						if err != nil {
							return
						}
						_, _ = io.Copy(io.Discard, r.Body)
						_, _ = io.WriteString(conn, answer)
					}
				}()
			}
		}()
		return "http://" + l.Addr().String(), connections
	}
	newTransport := func() *httpcheck.Transport {
		t := httpcheck.NewTransport(&http.Transport{DialContext: (&net.Dialer{}).DialContext})
		DeferCleanup(t.CloseIdleConnections)
		return t
	}
	send := func(t *httpcheck.Transport, url string) error {
		req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url, strings.NewReader("x"))
		Expect(err).NotTo(HaveOccurred())
		resp, err := t.RoundTrip(req)
		if err != nil {
			return err
		}
		defer func() { _ = resp.Body.Close() }()
		_, err = io.Copy(io.Discard, resp.Body)
		return err
	}

	// Guards against a request on a connection whose last response was invalid: what arrives on
	// it may belong to that one.
	DescribeTable("does not use a connection again after an invalid response", func(answer string) {
		url, connections := serve(answer)
		t := newTransport()
		Expect(partOf(send(t, url))).NotTo(BeEmpty())
		Expect(send(t, url)).To(Succeed())
		Expect(connections.Load()).To(BeEquivalentTo(2))
	},
		Entry("with a status", "HTTP/1.1 000 Trouble\r\nContent-Length: 0\r\n\r\n"),
		Entry("with a name", "HTTP/1.1 200 OK\r\nA B: c\r\nContent-Length: 0\r\n\r\n"),
		Entry("with a trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nA B: c\r\n\r\n"),
	)

	// Guards against a check of the first response of a connection alone, and against one of
	// bodies.
	It("checks each response of a connection, and no body", func() {
		body := "HTTP/1.1 000 Trouble\r\nA B: c\r\n\r\n"
		url, connections := serve(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
		t := newTransport()
		for range 3 {
			Expect(send(t, url)).To(Succeed())
		}
		Expect(connections.Load()).To(BeEquivalentTo(1))
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(l.Close)
		go func() {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			in := bufio.NewReader(conn)
			for _, answer := range []string{"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 200 OK\r\nA B: c\r\nContent-Length: 0\r\n\r\n"} {
				r, err := http.ReadRequest(in)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(conn, answer)
			}
		}()
		Expect(send(t, "http://"+l.Addr().String())).To(Succeed())
		Expect(partOf(send(t, "http://"+l.Addr().String()))).To(Equal(httpcheck.PartFieldName))
	})
})
