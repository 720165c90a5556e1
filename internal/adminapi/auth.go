package adminapi

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"

	"filbertdeck/internal/failure"
)

// Role says who asks.
type Role string

// The roles. Both only read; the monitor does not see the digests of keys.
const (
	RoleOperator Role = "operator"
	RoleMonitor  Role = "monitor"
)

// Token is one bearer token's digest and role. Tokens of the administration
// API are apart from accounts' keys: neither opens the other's door.
type Token struct {
	SHA256 [sha256.Size]byte
	Role   Role
}

// ParseToken reads role:digest, the digest as 64 hexadecimal digits.
func ParseToken(text string) (Token, error) {
	role, digest, _ := strings.Cut(text, ":")
	t := Token{Role: Role(role)}
	raw, err := hex.DecodeString(digest)
	if err != nil || len(raw) != len(t.SHA256) || (t.Role != RoleOperator && t.Role != RoleMonitor) {
		return Token{}, failure.New(failure.KindSettingInvalid, "administration token: allowed: operator:SHA256 or monitor:SHA256, the digest in hexadecimal")
	}
	copy(t.SHA256[:], raw)
	return t, nil
}

// bearer is the only scheme.
const bearer = "Bearer "

// roleOf gives the role of a request. It compares against every token, so
// that the time it takes says nothing about them.
func roleOf(r *http.Request, tokens []Token) (Role, error) {
	presented, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearer)
	if !ok || presented == "" {
		return "", failure.New(failure.KindUnauthorized, "a bearer token of the administration API is needed")
	}
	digest := sha256.Sum256([]byte(presented))
	var role Role
	for _, t := range tokens {
		if subtle.ConstantTimeCompare(digest[:], t.SHA256[:]) == 1 {
			role = t.Role
		}
	}
	if role == "" {
		return "", failure.New(failure.KindUnauthorized, "token unknown")
	}
	return role, nil
}
