package adminapi

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"

	"filbertdeck/internal/failure"
)

// Role is the role that a bearer token grants.
type Role string

// The roles. Both are read-only; the monitor does not see key digests.
const (
	RoleOperator Role = "operator"
	RoleMonitor  Role = "monitor"
)

// Token is the digest and role of one bearer token. Tokens of the
// administration API and keys of client accounts are separate: neither is
// accepted in place of the other.
type Token struct {
	SHA256 [sha256.Size]byte
	Role   Role
}

// ParseToken parses role:digest, with the digest as 64 hexadecimal digits.
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

// bearerPrefix precedes the token in the Authorization header; Bearer is the
// only supported scheme.
const bearerPrefix = "Bearer "

// authenticate returns the role of a request. It compares the presented token
// with all tokens, so that the response time reveals nothing about them.
func authenticate(r *http.Request, tokens []Token) (Role, error) {
	presented, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
	if !ok || presented == "" {
		return "", failure.New(failure.KindUnauthorized, "a bearer token of the administration API is required")
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
