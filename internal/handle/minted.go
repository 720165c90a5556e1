package handle

import (
	"encoding/binary"
	"strings"
	"time"

	"filbertdeck/internal/failure"
)

// mintedKeyPrefix distinguishes a minted key from one that a caller chose.
const mintedKeyPrefix = "fdk1."

// MintedKey is an idempotency key that the system issued. It names the only entry
// process that may run the call.
type MintedKey struct {
	Account string
	// Owner is the entry's address for forwarded calls. Incarnation is the
	// random number that its process drew at startup.
	Owner       string
	Incarnation uint64
	// OwnerUptimeAtMint is the owner's monotonic time since its process start when the key
	// was issued. Only the owner reads it, so the expiry depends on no other
	// clock.
	OwnerUptimeAtMint time.Duration
	// Sequence is unique within the owner's incarnation.
	Sequence uint64
}

// IsMinted reports whether a key has the prefix of minted keys. A key with the
// prefix that can't be opened is invalid; it is never treated as a key that a
// caller chose.
func IsMinted(key string) bool { return strings.HasPrefix(key, mintedKeyPrefix) }

// Mint returns the sealed text of a minted key.
func (r *KeyRing) Mint(m MintedKey) string {
	keys := r.keys.Load()
	maxSize := 2*binary.MaxVarintLen64 + 8 + binary.MaxVarintLen32 + len(m.Owner)
	return string(r.seal([]byte(mintedKeyPrefix), keys, keys.mintedAEAD, m.Account, maxSize, m.appendTo))
}

func (m MintedKey) appendTo(dst []byte) []byte {
	dst = binary.BigEndian.AppendUint64(dst, m.Incarnation)
	dst = binary.AppendUvarint(dst, m.Sequence)
	dst = binary.AppendVarint(dst, m.OwnerUptimeAtMint.Milliseconds())
	return appendString(dst, m.Owner)
}

// OpenMinted decrypts a key that was minted for account. Its errors are of
// KindKeyInvalid.
func (r *KeyRing) OpenMinted(text, account string) (MintedKey, error) {
	sealed, found := strings.CutPrefix(text, mintedKeyPrefix)
	if !found {
		return MintedKey{}, invalidKey()
	}
	plaintext, ok := r.open(sealed, account, purposeMinted)
	if !ok || len(plaintext) < 8 {
		return MintedKey{}, invalidKey()
	}
	m := MintedKey{Account: account, Incarnation: binary.BigEndian.Uint64(plaintext)}
	d := decoder{rest: plaintext[8:]}
	m.Sequence = d.uvarint()
	m.OwnerUptimeAtMint = time.Duration(d.varint()) * time.Millisecond
	m.Owner = d.string()
	if d.malformed || len(d.rest) != 0 {
		return MintedKey{}, invalidKey()
	}
	return m, nil
}

// invalidKey returns an error that leaves the execution unknown: after a
// rotation that dropped a ring key too early, the key of a call that was
// executed can't be opened either.
func invalidKey() error {
	return failure.New(failure.KindKeyInvalid, "idempotency key is not valid").WithExecutionUnknown()
}
