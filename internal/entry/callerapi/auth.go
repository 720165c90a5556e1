package callerapi

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"

	"filbertdeck/internal/failure"
	"filbertdeck/internal/table"
)

const bearerPrefix = "Bearer "

// maxKey bounds a bearer key, in bytes.
const maxKey = 512

// account finds the client account of a request. Only digests are compared:
// the lookup's time depends on the digest, of which a caller cannot choose a
// part, and the comparison itself takes constant time.
func account(t *table.Table, r *http.Request) (*table.Account, error) {
	header := r.Header.Get("Authorization")
	key, found := strings.CutPrefix(header, bearerPrefix)
	if !found || key == "" || len(key) > maxKey {
		return nil, failure.New(failure.KindUnauthorized, "a bearer key is missing")
	}
	digest := sha256.Sum256([]byte(key))
	a, ok := t.ByKey[digest]
	if !ok || !holds(a, digest) {
		return nil, failure.New(failure.KindUnauthorized, "the bearer key is not known")
	}
	return a, nil
}

func holds(a *table.Account, digest [32]byte) bool {
	match := 0
	for _, h := range a.KeyHashes {
		match |= subtle.ConstantTimeCompare(h[:], digest[:])
	}
	return match == 1
}

// allowed fails when the account may not use the service.
func allowed(a *table.Account, service string) error {
	if len(a.Services) == 0 {
		return nil
	}
	for _, s := range a.Services {
		if s == service {
			return nil
		}
	}
	return failure.New(failure.KindForbidden, "the account may not use service %q", service)
}
