package relay

import (
	"context"
	"net/http"
	"strconv"

	"google.golang.org/grpc/metadata"

	"filbertdeck/internal/api/filbertv1"
	"filbertdeck/internal/failure"
)

// ReserveFunc reserves memory of this host, in bytes, until release is called. It returns false
// if there is none.
type ReserveFunc func(bytes int64) (release func(), ok bool)

// unlimited is the ReserveFunc of a host without limits.
func unlimited(int64) (release func(), ok bool) { return func() {}, true }

// Keys of a call's metadata with the size of its request, by which the host that is asked knows
// what to reserve before it reads the request.
const (
	bodyBytesKey   = "filbert-request-body-bytes"
	headerBytesKey = "filbert-request-header-bytes"
	headerLinesKey = "filbert-request-header-lines"
)

const (
	// memoryPerRequest is what a relayed request takes on a host whatever its size: the buffers
	// and stacks of its calls, in bytes.
	memoryPerRequest = 8 << 10
	// copiesOfBody and copiesOfHeader are how often they stand in memory at a time: as they go
	// over the network, decoded, and the header in the request to the target.
	copiesOfBody   = 2
	copiesOfHeader = 4
	// memoryPerHeaderLine is the memory of a header line beside its bytes.
	memoryPerHeaderLine = 512
)

// requestSize is the size of a request that goes through another host.
type requestSize struct{ bodyBytes, headerBytes, headerLines int64 }

// sizeOfRequest returns the size of a request as built for a target, whose body is in memory.
func sizeOfRequest(req *http.Request) requestSize {
	size := requestSize{bodyBytes: max(req.ContentLength, 0), headerBytes: int64(len(req.URL.RequestURI()) + len(req.Host))}
	for name, values := range req.Header {
		for _, value := range values {
			size.headerBytes += int64(len(name) + len(value))
			size.headerLines++
		}
	}
	return size
}

// sizeOfMessage returns the size of a request that has been read.
func sizeOfMessage(message *filbertv1.RelayRequest) requestSize {
	size := requestSize{
		bodyBytes: int64(len(message.GetBody())), headerBytes: int64(len(message.GetUri()) + len(message.GetHost())), headerLines: int64(len(message.GetHeaders())),
	}
	for _, h := range message.GetHeaders() {
		size.headerBytes += int64(len(h.GetName()) + len(h.GetValue()))
	}
	return size
}

// memory returns what the request takes on each of the two hosts, in bytes.
func (s requestSize) memory() int64 {
	return memoryPerRequest + copiesOfBody*s.bodyBytes + copiesOfHeader*s.headerBytes + memoryPerHeaderLine*s.headerLines
}

// announce returns a context for a call that names the size.
func (s requestSize) announce(ctx context.Context) context.Context {
	return metadata.AppendToOutgoingContext(ctx, bodyBytesKey, strconv.FormatInt(s.bodyBytes, 10),
		headerBytesKey, strconv.FormatInt(s.headerBytes, 10), headerLinesKey, strconv.FormatInt(s.headerLines, 10))
}

// announcedSize returns the size that a call names; what it does not name counts as 0.
func announcedSize(ctx context.Context) requestSize {
	values, _ := metadata.FromIncomingContext(ctx)
	number := func(key string) int64 {
		if named := values.Get(key); len(named) == 1 {
			if n, err := strconv.ParseUint(named[0], 10, 32); err == nil {
				return int64(n)
			}
		}
		return 0
	}
	return requestSize{bodyBytes: number(bodyBytesKey), headerBytes: number(headerBytesKey), headerLines: number(headerLinesKey)}
}

// reservation is the memory that is reserved for one request.
type reservation struct {
	reserve  ReserveFunc
	bytes    int64
	releases []func()
}

// extend reserves what a request of a size takes beyond what is reserved for it already: a host
// of an earlier version announces no size. The error is of kind KindOverloaded.
func (r *reservation) extend(size requestSize) error {
	more := size.memory() - r.bytes
	if more <= 0 {
		return nil
	}
	release, ok := r.reserve(more)
	if !ok {
		return failure.New(failure.KindOverloaded, "there is no memory for a request of %d bytes of another host", size.bodyBytes+size.headerBytes)
	}
	r.bytes += more
	r.releases = append(r.releases, release)
	return nil
}

func (r *reservation) release() {
	for _, release := range r.releases {
		release()
	}
}
