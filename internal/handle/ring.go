// Package handle seals the opaque texts that callers carry for the system:
// resume handles (the `id:` of each SSE event) and minted idempotency keys.
//
// Nothing of the system keeps state that outlives a process, so the caller
// carries it. A text is authenticated and encrypted (AES-256-GCM); it is bound
// to the account that received it and tells its holder nothing. A text that
// was changed, that was made for another account or that is plain garbage
// fails in one and the same way, so that trying texts teaches nothing.
//
// All entries share a ring of secret keys. The first key seals, every key
// opens. To rotate: append the new key everywhere, then move it to the front
// everywhere, then drop the old one when the longest expiry has passed.
package handle

import (
	"bytes"
	"crypto/aes"
	"crypto/cipher"
	"crypto/hkdf"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"strconv"
	"strings"
	"sync/atomic"

	"filbertdeck/internal/failure"
)

const (
	// secretSize is the size of a ring key, in bytes (AES-256).
	secretSize = 32
	// saltSize makes two processes that draw the same salt unlikely: with 2^32
	// process starts under one ring key the chance is below 2^-64.
	saltSize    = 16
	keyIDSize   = 4
	counterSize = 8
	tagSize     = 16
	headerSize  = keyIDSize + saltSize + counterSize
	// maxText bounds a text that is opened, in bytes, before any work is done
	// on it. A sealed text with names of the longest allowed kind is shorter.
	maxText = 2048
)

// Purposes keep the two kinds of texts apart: a resume handle never opens as
// an idempotency key. The purpose also seals the layout's version.
const (
	purposeHandle = "filbertdeck resume handle v1"
	purposeMinted = "filbertdeck idempotency key v1"
)

// encoding is strict: exactly one text decodes to given bytes. Otherwise two
// spellings of one key could pass for two keys.
var encoding = base64.RawURLEncoding.Strict()

// Secret is one key of the ring.
type Secret struct {
	// ID names the key in sealed texts; it is not secret.
	ID uint32
	// Bytes has 32 bytes. It is never logged.
	Bytes []byte
}

// ParseSecrets reads a ring: one `id:base64` a line, the sealing key first;
// empty lines and lines that begin with # are left out. Errors name the line
// only, since its text is secret.
func ParseSecrets(text []byte) ([]Secret, error) {
	var secrets []Secret
	seen := map[uint32]bool{}
	for i, line := range bytes.Split(text, []byte("\n")) {
		trimmed := strings.TrimSpace(string(line))
		if trimmed == "" || strings.HasPrefix(trimmed, "#") {
			continue
		}
		secret, err := parseSecret(trimmed)
		if err != nil {
			return nil, failure.Wrap(err, failure.KindSettingInvalid, "key ring, line %d", i+1)
		}
		if seen[secret.ID] {
			return nil, failure.New(failure.KindSettingInvalid, "key ring, line %d: id %d stands twice", i+1, secret.ID)
		}
		seen[secret.ID] = true
		secrets = append(secrets, secret)
	}
	if len(secrets) == 0 {
		return nil, failure.New(failure.KindSettingInvalid, "key ring holds no key")
	}
	return secrets, nil
}

func parseSecret(line string) (Secret, error) {
	idText, keyText, found := strings.Cut(line, ":")
	if !found {
		return Secret{}, failure.New(failure.KindSettingInvalid, "want id:base64")
	}
	id, err := strconv.ParseUint(idText, 10, 32)
	if err != nil {
		return Secret{}, failure.New(failure.KindSettingInvalid, "id must be a number below 2^32")
	}
	key, err := base64.StdEncoding.DecodeString(strings.TrimSpace(keyText))
	if err != nil || len(key) != secretSize {
		return Secret{}, failure.New(failure.KindSettingInvalid, "key must be %d bytes in base64", secretSize)
	}
	return Secret{ID: uint32(id), Bytes: key}, nil
}

// RandomSecret returns a ring of one fresh key. Texts that it seals open in
// this process only, which suits tests and a single host.
func RandomSecret() []Secret {
	key := make([]byte, secretSize)
	_, _ = rand.Read(key) // never fails, see crypto/rand
	return []Secret{{ID: 1, Bytes: key}}
}

// KeyRing seals and opens texts. It is safe for concurrent use; Replace swaps
// the keys under running requests (read-copy-update).
type KeyRing struct {
	salt    [saltSize]byte
	counter atomic.Uint64
	keys    atomic.Pointer[ringKeys]
}

// ringKeys is one immutable state of the ring. Sealing uses keys derived for
// this process: GCM must never see a nonce twice under one key, and at
// millions of texts a second over the fleet random nonces under a shared key
// would meet within the hour. A derived key is this process's alone, so a
// counter is enough.
type ringKeys struct {
	secrets    map[uint32][]byte
	sealing    uint32
	sealHandle cipher.AEAD
	sealMinted cipher.AEAD
}

// NewKeyRing returns a ring with the given keys, the sealing key first.
func NewKeyRing(secrets []Secret) (*KeyRing, error) {
	r := &KeyRing{}
	_, _ = rand.Read(r.salt[:]) // never fails, see crypto/rand
	if err := r.Replace(secrets); err != nil {
		return nil, err
	}
	return r, nil
}

// Replace swaps the ring's keys.
func (r *KeyRing) Replace(secrets []Secret) error {
	if len(secrets) == 0 {
		return failure.New(failure.KindSettingInvalid, "key ring holds no key")
	}
	next := &ringKeys{secrets: make(map[uint32][]byte, len(secrets)), sealing: secrets[0].ID}
	for _, s := range secrets {
		if len(s.Bytes) != secretSize {
			return failure.New(failure.KindSettingInvalid, "key %d must have %d bytes", s.ID, secretSize)
		}
		next.secrets[s.ID] = bytes.Clone(s.Bytes)
	}
	var err error
	if next.sealHandle, err = derive(secrets[0].Bytes, r.salt[:], purposeHandle); err != nil {
		return err
	}
	if next.sealMinted, err = derive(secrets[0].Bytes, r.salt[:], purposeMinted); err != nil {
		return err
	}
	r.keys.Store(next)
	return nil
}

func derive(secret, salt []byte, purpose string) (cipher.AEAD, error) {
	key, err := hkdf.Key(sha256.New, secret, salt, purpose, secretSize)
	if err != nil {
		return nil, failure.Wrap(err, failure.KindInternal, "derive sealing key")
	}
	block, err := aes.NewCipher(key)
	if err != nil {
		return nil, failure.Wrap(err, failure.KindInternal, "sealing cipher")
	}
	aead, err := cipher.NewGCM(block)
	if err != nil {
		return nil, failure.Wrap(err, failure.KindInternal, "sealing mode")
	}
	return aead, nil
}

// seal appends the sealed text of what fill appends. All working space is the
// room behind dst, so that a caller that reuses dst allocates nothing.
func (r *KeyRing) seal(dst []byte, keys *ringKeys, aead cipher.AEAD, account string, bound int, fill func([]byte) []byte) []byte {
	rawBound := headerSize + bound + tagSize
	textBound := encoding.EncodedLen(rawBound)
	start := len(dst)
	dst = grow(dst, textBound+rawBound+aead.NonceSize()+len(account))

	// Behind the text's room: nonce, account, then the raw bytes.
	scratch := dst[start+textBound : start+textBound]
	counter := r.counter.Add(1)
	scratch = append(scratch, 0, 0, 0, 0)
	scratch = binary.BigEndian.AppendUint64(scratch, counter)
	nonce := scratch
	scratch = append(scratch, account...)
	bind := scratch[len(nonce):]

	raw := scratch[len(scratch):]
	raw = binary.BigEndian.AppendUint32(raw, keys.sealing)
	raw = append(raw, r.salt[:]...)
	raw = binary.BigEndian.AppendUint64(raw, counter)
	raw = fill(raw)
	raw = aead.Seal(raw[:headerSize], nonce, raw[headerSize:], bind)

	end := start + encoding.EncodedLen(len(raw))
	encoding.Encode(dst[start:end], raw)
	return dst[:end]
}

// open gives back the plain bytes of a text that seal made for this account.
func (r *KeyRing) open(text, account, purpose string) ([]byte, bool) {
	if len(text) > maxText {
		return nil, false
	}
	raw, err := encoding.DecodeString(text)
	if err != nil || len(raw) < headerSize+tagSize {
		return nil, false
	}
	secret, known := r.keys.Load().secrets[binary.BigEndian.Uint32(raw)]
	if !known {
		return nil, false
	}
	aead, err := derive(secret, raw[keyIDSize:keyIDSize+saltSize], purpose)
	if err != nil {
		return nil, false
	}
	var nonce [12]byte
	copy(nonce[4:], raw[keyIDSize+saltSize:headerSize])
	plain, err := aead.Open(nil, nonce[:], raw[headerSize:], []byte(account))
	return plain, err == nil
}

func grow(dst []byte, room int) []byte {
	if cap(dst)-len(dst) < room {
		bigger := make([]byte, len(dst), len(dst)+room)
		copy(bigger, dst)
		dst = bigger
	}
	return dst[:len(dst)+room]
}
