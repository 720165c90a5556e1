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

// maxBearerKeyBytes is the maximum length of a bearer key in bytes.
const maxBearerKeyBytes = 512

// authenticate returns the client account of a request. It compares only
// digests, so that timing reveals nothing about keys: the lookup time depends on
// the digest, no part of which a caller can choose, and the comparison takes
// constant time.
func authenticate(t *table.Table, r *http.Request) (*table.Account, error) {
	header := r.Header.Get("Authorization")
	key, found := strings.CutPrefix(header, bearerPrefix)
	if !found || key == "" || len(key) > maxBearerKeyBytes {
		return nil, failure.New(failure.KindUnauthorized, "the Authorization header has no valid bearer key")
	}
	digest := sha256.Sum256([]byte(key))
	a, ok := t.AccountByKeyHash[digest]
	if !ok || !hasKeyDigest(a, digest) {
		return nil, failure.New(failure.KindUnauthorized, "unknown bearer key")
	}
	return a, nil
}

func hasKeyDigest(a *table.Account, digest [32]byte) bool {
	match := 0
	for _, h := range a.KeyHashes {
		match |= subtle.ConstantTimeCompare(h[:], digest[:])
	}
	return match == 1
}

// authorize returns an error if the account may not use the service.
func authorize(a *table.Account, service string) error {
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
