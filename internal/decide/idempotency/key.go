package idempotency

import (
	"strings"
	"time"

	"github.com/google/uuid"

	"filbertdeck/internal/failure"
)

// KeyKind says where a key's time and owner come from.
type KeyKind int

// The kinds of keys.
const (
	// KeyMinted was made by an entry, which is its only owner for good.
	KeyMinted KeyKind = iota + 1
	// KeyOrdered is a caller's UUIDv7: it carries the time of its making.
	KeyOrdered
	// KeyOpaque is any other key of a caller's making.
	KeyOpaque
)

// maxKeyLength bounds a caller's key, in bytes.
const maxKeyLength = 255

// Process names one entry process: another process at the same address has
// another incarnation and remembers nothing.
type Process struct {
	Address     string
	Incarnation uint64
}

// Key is an idempotency key in its canonical form: two spellings of one key
// are equal here.
type Key struct {
	Kind KeyKind
	// ID is the canonical text, unique within an account.
	ID string
	// Owner and MintedAt belong to minted keys; MintedAt is the owner's
	// monotonic time.
	Owner    Process
	MintedAt time.Duration
	// Stamp is the time that a UUIDv7 carries. Nobody has vouched for it.
	Stamp time.Time
}

// MintedKey describes a key that an entry minted and whose seal was checked.
func MintedKey(id string, owner Process, at time.Duration) Key {
	return Key{Kind: KeyMinted, ID: "m/" + id, Owner: owner, MintedAt: at}
}

// CallerKey reads a key of a caller's making, with or without the quotes of a
// structured header.
func CallerKey(text string) (Key, error) {
	text = strings.TrimSpace(text)
	if len(text) >= 2 && text[0] == '"' && text[len(text)-1] == '"' {
		text = text[1 : len(text)-1]
	}
	if text == "" || len(text) > maxKeyLength || !visible(text) {
		return Key{}, failure.New(failure.KindKeyInvalid,
			"idempotency key must have 1 to %d visible ASCII characters", maxKeyLength).Unknown()
	}
	id, err := uuid.Parse(text)
	if err != nil || len(text) != len(id.String()) {
		return Key{Kind: KeyOpaque, ID: "c/" + text}, nil
	}
	// A UUID's letters may come in either case.
	key := Key{Kind: KeyOpaque, ID: "c/" + id.String()}
	if id.Version() == 7 {
		key.Kind = KeyOrdered
		sec, nsec := id.Time().UnixTime()
		key.Stamp = time.Unix(sec, nsec)
	}
	return key, nil
}

func visible(text string) bool {
	for i := range len(text) {
		if text[i] <= ' ' || text[i] > '~' {
			return false
		}
	}
	return true
}
