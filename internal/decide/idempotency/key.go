package idempotency

import (
	"strings"
	"time"

	"github.com/google/uuid"

	"filbertdeck/internal/failure"
)

// KeyKind is the kind of a key. It determines how the key's time and owner are
// found.
type KeyKind int

// The kinds of keys.
const (
	// KeyMinted is a key that an entry generated. That entry process is its only
	// owner, also after it has ended.
	KeyMinted KeyKind = iota + 1
	// KeyTimeOrdered is a UUIDv7 that a caller generated. It carries its
	// creation time.
	KeyTimeOrdered
	// KeyOpaque is any other key that a caller generated.
	KeyOpaque
)

// maxKeyBytes is the maximum length of a caller's key.
const maxKeyBytes = 255

// Process identifies one entry process. A new process at the same address has
// another incarnation and none of the earlier one's records.
type Process struct {
	Address     string
	Incarnation uint64
}

// Key is an idempotency key in canonical form, so that different spellings of
// one key are equal.
type Key struct {
	Kind KeyKind
	// ID is the canonical text, unique within an account.
	ID string
	// Owner and MintedAt are set for minted keys. MintedAt is on the owner's
	// monotonic clock.
	Owner    Process
	MintedAt time.Duration
	// Timestamp is the creation time in a UUIDv7. It comes from the caller and
	// is not verified.
	Timestamp time.Time
}

// MintedKey returns the key that an entry minted. The caller must have verified
// its seal.
func MintedKey(id string, owner Process, mintedAt time.Duration) Key {
	return Key{Kind: KeyMinted, ID: "m/" + id, Owner: owner, MintedAt: mintedAt}
}

// CallerKey parses a caller's key, with or without the quotes of a structured
// header field.
func CallerKey(text string) (Key, error) {
	text = strings.TrimSpace(text)
	if len(text) >= 2 && text[0] == '"' && text[len(text)-1] == '"' {
		text = text[1 : len(text)-1]
	}
	if text == "" || len(text) > maxKeyBytes || !isVisibleASCII(text) {
		return Key{}, failure.New(failure.KindKeyInvalid,
			"idempotency key must have 1 to %d visible ASCII characters", maxKeyBytes).WithExecutionUnknown()
	}
	id, err := uuid.Parse(text)
	if err != nil || len(text) != len(id.String()) {
		return Key{Kind: KeyOpaque, ID: "c/" + text}, nil
	}
	// The hexadecimal digits of a UUID may be in upper or lower case.
	key := Key{Kind: KeyOpaque, ID: "c/" + id.String()}
	if id.Version() == 7 {
		key.Kind = KeyTimeOrdered
		sec, nsec := id.Time().UnixTime()
		key.Timestamp = time.Unix(sec, nsec)
	}
	return key, nil
}

func isVisibleASCII(text string) bool {
	for i := range len(text) {
		if text[i] <= ' ' || text[i] > '~' {
			return false
		}
	}
	return true
}
