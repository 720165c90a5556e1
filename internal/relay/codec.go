package relay

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"filbertdeck/internal/api/filbertv1"
	"filbertdeck/internal/call"
	"filbertdeck/internal/directory"
	"filbertdeck/internal/failure"
)

// encodeRequest encodes a request as built for a target.
func encodeRequest(req *http.Request, s *call.Attempt) (*filbertv1.RelayRequest, error) {
	var body []byte
	if req.GetBody != nil {
		reader, err := req.GetBody()
		if err == nil {
			body, err = readBody(reader, req.ContentLength)
		}
		if err != nil {
			return nil, failure.Wrap(err, failure.KindInternal, "the request body can't be read again")
		}
	}
	message := &filbertv1.RelayRequest{
		Target: s.Target.ID, Started: s.Target.StartedUnixMilli, Method: req.Method, Host: req.Host, Uri: req.URL.RequestURI(),
		Headers: encodeHeader(req.Header), Body: body, LastResort: s.LastResort, RequestId: s.ID, Management: s.Management, Fingerprint: s.Fingerprint, PromptParts: s.PromptParts, TestRun: s.TestRun, ConfirmStart: s.ConfirmStart,
	}
	if deadline, ok := req.Context().Deadline(); ok {
		message.TimeoutMs = uint32(max(time.Until(deadline).Milliseconds(), 1))
	}
	return message, nil
}

// readBody reads a body; a negative length is not known.
func readBody(r io.Reader, length int64) ([]byte, error) {
	if length < 0 {
		return io.ReadAll(r)
	}
	body := make([]byte, length)
	_, err := io.ReadFull(r, body)
	return body, err
}

// decodeRequest returns the request that a message describes, for the address of its
// target.
func decodeRequest(ctx context.Context, message *filbertv1.RelayRequest, address string) (*http.Request, error) {
	var body io.Reader
	if len(message.GetBody()) > 0 {
		body = bytes.NewReader(message.GetBody())
	}
	req, err := http.NewRequestWithContext(ctx, message.GetMethod(), "http://"+address+"/", body)
	if err != nil {
		return nil, failure.Wrap(err, failure.KindBadRequest, "the request of another host can't be sent")
	}
	if uri, err := url.ParseRequestURI(message.GetUri()); err != nil || uri.Host != "" {
		return nil, failure.New(failure.KindBadRequest, "the request target of another host's request is not a path")
	}
	req.URL = &url.URL{Scheme: "http", Host: address, Opaque: message.GetUri()}
	req.Host = message.GetHost()
	req.Header = http.Header{}
	for _, h := range message.GetHeaders() {
		req.Header[h.GetName()] = append(req.Header[h.GetName()], string(h.GetValue()))
	}
	if _, named := req.Header["User-Agent"]; !named {
		// Keeps net/http from adding its own.
		req.Header["User-Agent"] = nil
	}
	return req, nil
}

// attempt returns the attempt that a message describes, without what only the host
// needs that relays the request.
func attempt(message *filbertv1.RelayRequest, t directory.Target) *call.Attempt {
	return &call.Attempt{Request: &call.Request{ID: message.GetRequestId()}, Target: t, LastResort: message.GetLastResort(), Management: message.GetManagement(), Fingerprint: message.GetFingerprint(), PromptParts: message.GetPromptParts(), TestRun: message.GetTestRun(), ConfirmStart: message.GetConfirmStart()}
}

func encodeHeader(header http.Header) []*filbertv1.Header {
	var out []*filbertv1.Header
	for name, values := range header {
		for _, value := range values {
			out = append(out, &filbertv1.Header{Name: name, Value: []byte(value)})
		}
	}
	return out
}

func encodeAnswer(resp *http.Response) *filbertv1.RelayReply {
	return &filbertv1.RelayReply{Step: &filbertv1.RelayReply_Answer{Answer: &filbertv1.RelayAnswer{
		Status: uint32(resp.StatusCode), Headers: encodeHeader(resp.Header), Close: resp.Close,
	}}}
}

// decodeAnswer returns the response that an answer describes.
func decodeAnswer(answer *filbertv1.RelayAnswer, req *http.Request, body io.ReadCloser) *http.Response {
	status := int(answer.GetStatus())
	resp := &http.Response{
		Status: strconv.Itoa(status) + " " + http.StatusText(status), StatusCode: status, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: http.Header{}, Body: body, ContentLength: -1, Close: answer.GetClose(), Request: req,
	}
	for _, h := range answer.GetHeaders() {
		resp.Header[h.GetName()] = append(resp.Header[h.GetName()], string(h.GetValue()))
	}
	return resp
}

// encodeFailure encodes a failure to send. hostAtFault says that another host may
// send the request.
func encodeFailure(err error, hostAtFault bool) *filbertv1.RelayReply {
	f := failure.FromError(err)
	return &filbertv1.RelayReply{Step: &filbertv1.RelayReply_Failure{Failure: &filbertv1.RelayFailure{
		Kind: string(f.Kind), Executed: string(f.Executed), Detail: f.Error(), RetryAfterMs: uint32(f.RetryAfter.Milliseconds()), HostAtFault: hostAtFault,
	}}}
}

// decodeFailure returns the failure that another host reports. Whether the request
// ran counts as unknown unless the host says that it did not.
func decodeFailure(f *filbertv1.RelayFailure) error {
	out := failure.New(failure.Kind(f.GetKind()), "%s", f.GetDetail()).WithRetryAfter(time.Duration(f.GetRetryAfterMs()) * time.Millisecond)
	if failure.Executed(f.GetExecuted()) != failure.ExecutedNo {
		out = out.WithExecutionUnknown()
	}
	return out
}
