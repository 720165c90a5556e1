package handle

import (
	"encoding/binary"
	"strings"
	"time"

	"filbertdeck/internal/failure"
)

// mintedPrefix tells a minted key from a key that a caller made up.
const mintedPrefix = "fdk1."

// MintedKey is an idempotency key that the system made. It names the one entry
// process that may ever run the call.
type MintedKey struct {
	Account string
	// Owner is the forward address of the entry, Incarnation the number that
	// its process drew at its start.
	Owner       string
	Incarnation uint64
	// OwnerUptimeAtMint is the owner's monotonic time at minting, from its process start.
	// Only the owner reads it, so no other clock takes part in the expiry.
	OwnerUptimeAtMint time.Duration
	// Sequence is unique within the owner's incarnation.
	Sequence uint64
}

// IsMinted tells whether a key claims to be minted. One that claims so and
// does not open is invalid; it is never treated as a caller's own key.
func IsMinted(key string) bool { return strings.HasPrefix(key, mintedPrefix) }

// Mint gives the text of a minted key.
func (r *KeyRing) Mint(m MintedKey) string {
	keys := r.keys.Load()
	bound := 2*binary.MaxVarintLen64 + 8 + binary.MaxVarintLen32 + len(m.Owner)
	return string(r.seal([]byte(mintedPrefix), keys, keys.sealMinted, m.Account, bound, m.appendTo))
}

func (m MintedKey) appendTo(dst []byte) []byte {
	dst = binary.BigEndian.AppendUint64(dst, m.Incarnation)
	dst = binary.AppendUvarint(dst, m.Sequence)
	dst = binary.AppendVarint(dst, m.OwnerUptimeAtMint.Milliseconds())
	return appendText(dst, m.Owner)
}

// OpenMinted gives back a key that was minted for account, or a failure of
// KindKeyInvalid.
func (r *KeyRing) OpenMinted(text, account string) (MintedKey, error) {
	sealed, found := strings.CutPrefix(text, mintedPrefix)
	if !found {
		return MintedKey{}, invalidKey()
	}
	plain, ok := r.open(sealed, account, purposeMinted)
	if !ok || len(plain) < 8 {
		return MintedKey{}, invalidKey()
	}
	m := MintedKey{Account: account, Incarnation: binary.BigEndian.Uint64(plain)}
	d := decoder{rest: plain[8:]}
	m.Sequence = d.uvarint()
	m.OwnerUptimeAtMint = time.Duration(d.varint()) * time.Millisecond
	m.Owner = d.text()
	if d.bad || len(d.rest) != 0 {
		return MintedKey{}, invalidKey()
	}
	return m, nil
}

// invalidKey leaves the outcome open: after a rotation that dropped a key too
// early, a call that ran long ago would look just the same.
func invalidKey() error {
	return failure.New(failure.KindKeyInvalid, "idempotency key is not valid here").WithExecutionUnknown()
}
