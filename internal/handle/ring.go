// Package handle encrypts the opaque tokens that callers keep for the system:
// resume handles (the `id:` of each SSE event) and minted idempotency keys.
//
// No process persists state, so the caller keeps it. A token is authenticated
// and encrypted (AES-256-GCM), bound to the account that it was issued to, and
// reveals nothing to its holder. Altered tokens, tokens of other accounts and
// malformed ones all fail with the same error, so that guessing reveals
// nothing about which tokens exist.
//
// All entries share a ring of secret keys. The first key seals; every key
// opens. To rotate the keys, append the new key on every entry, then move it
// to the front on every entry, then remove the old key once the longest expiry
// has passed.
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
	// saltSize is the size of a process's random salt, in bytes. With 2^32
	// process starts under one ring key, the probability that two processes
	// draw the same salt is below 2^-64.
	saltSize    = 16
	keyIDSize   = 4
	counterSize = 8
	tagSize     = 16
	headerSize  = keyIDSize + saltSize + counterSize
	// maxSealedSize is the maximum size of a sealed text, in bytes. It is
	// checked before decoding. A sealed text with names of the maximum length
	// is shorter.
	maxSealedSize = 2048
)

// The key derivation contexts of the two kinds of sealed texts. They prevent a
// resume handle from being opened as an idempotency key, and they include the
// version of the plaintext layout.
const (
	purposeHandle = "filbertdeck resume handle v1"
	purposeMinted = "filbertdeck idempotency key v1"
)

// encoding is strict, so that exactly one text decodes to the given bytes.
// Otherwise two encodings of one idempotency key would count as two keys.
var encoding = base64.RawURLEncoding.Strict()

// Secret is one key of the ring.
type Secret struct {
	// ID identifies the key in sealed texts; it is not secret.
	ID uint32
	// Bytes is the key material, 32 bytes. It is never logged.
	Bytes []byte
}

// ParseSecrets parses a key ring: one `id:base64` per line, the sealing key
// first. Empty lines and lines that begin with # are ignored. Errors contain
// only the line number, since the line's text is secret.
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
			return nil, failure.New(failure.KindSettingInvalid, "key ring, line %d: id %d occurs twice", i+1, secret.ID)
		}
		seen[secret.ID] = true
		secrets = append(secrets, secret)
	}
	if len(secrets) == 0 {
		return nil, failure.New(failure.KindSettingInvalid, "key ring contains no key")
	}
	return secrets, nil
}

func parseSecret(line string) (Secret, error) {
	idText, keyText, found := strings.Cut(line, ":")
	if !found {
		return Secret{}, failure.New(failure.KindSettingInvalid, "line must have the form id:base64")
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

// RandomSecret returns a single random key. Texts that are sealed with it can
// be opened in this process only, which is enough for tests and for a single
// host.
func RandomSecret() []Secret {
	key := make([]byte, secretSize)
	_, _ = rand.Read(key) // never fails, see crypto/rand
	return []Secret{{ID: 1, Bytes: key}}
}

// KeyRing seals and opens texts. It is safe for concurrent use, and Replace may
// be called while requests are in progress (read-copy-update).
type KeyRing struct {
	salt    [saltSize]byte
	counter atomic.Uint64
	keys    atomic.Pointer[ringKeys]
}

// ringKeys is one immutable state of the ring. GCM must never use a nonce twice
// with one key. At millions of sealed texts per second across all hosts, random
// nonces under a shared key would collide within an hour. Sealing therefore
// uses keys that are derived for this process, with a counter as the nonce.
type ringKeys struct {
	secrets    map[uint32][]byte
	sealingID  uint32
	handleAEAD cipher.AEAD
	mintedAEAD cipher.AEAD
}

// NewKeyRing returns a ring with the given keys, of which the first one seals.
func NewKeyRing(secrets []Secret) (*KeyRing, error) {
	r := &KeyRing{}
	_, _ = rand.Read(r.salt[:]) // never fails, see crypto/rand
	if err := r.Replace(secrets); err != nil {
		return nil, err
	}
	return r, nil
}

// Replace replaces the ring's keys. On error the keys stay unchanged.
func (r *KeyRing) Replace(secrets []Secret) error {
	if len(secrets) == 0 {
		return failure.New(failure.KindSettingInvalid, "key ring contains no key")
	}
	next := &ringKeys{secrets: make(map[uint32][]byte, len(secrets)), sealingID: secrets[0].ID}
	for _, s := range secrets {
		if len(s.Bytes) != secretSize {
			return failure.New(failure.KindSettingInvalid, "key %d must have %d bytes", s.ID, secretSize)
		}
		next.secrets[s.ID] = bytes.Clone(s.Bytes)
	}
	var err error
	if next.handleAEAD, err = deriveAEAD(secrets[0].Bytes, r.salt[:], purposeHandle); err != nil {
		return err
	}
	if next.mintedAEAD, err = deriveAEAD(secrets[0].Bytes, r.salt[:], purposeMinted); err != nil {
		return err
	}
	r.keys.Store(next)
	return nil
}

func deriveAEAD(secret, salt []byte, purpose string) (cipher.AEAD, error) {
	key, err := hkdf.Key(sha256.New, secret, salt, purpose, secretSize)
	if err != nil {
		return nil, failure.Wrap(err, failure.KindInternal, "cannot derive the sealing key")
	}
	block, err := aes.NewCipher(key)
	if err != nil {
		return nil, failure.Wrap(err, failure.KindInternal, "cannot create the AES cipher")
	}
	aead, err := cipher.NewGCM(block)
	if err != nil {
		return nil, failure.Wrap(err, failure.KindInternal, "cannot create the GCM mode")
	}
	return aead, nil
}

// seal appends to dst the sealed text of the plaintext that appendPlaintext
// appends. It uses the spare capacity of dst as scratch space, so that a caller
// that reuses dst does not allocate.
func (r *KeyRing) seal(dst []byte, keys *ringKeys, aead cipher.AEAD, account string, maxPlaintextSize int, appendPlaintext func([]byte) []byte) []byte {
	maxRawSize := headerSize + maxPlaintextSize + tagSize
	maxTextSize := encoding.EncodedLen(maxRawSize)
	start := len(dst)
	dst = extend(dst, maxTextSize+maxRawSize+aead.NonceSize()+len(account))

	// The scratch space follows the text: nonce, account, then the raw bytes.
	scratch := dst[start+maxTextSize : start+maxTextSize]
	counter := r.counter.Add(1)
	scratch = append(scratch, 0, 0, 0, 0)
	scratch = binary.BigEndian.AppendUint64(scratch, counter)
	nonce := scratch
	scratch = append(scratch, account...)
	additionalData := scratch[len(nonce):]

	raw := scratch[len(scratch):]
	raw = binary.BigEndian.AppendUint32(raw, keys.sealingID)
	raw = append(raw, r.salt[:]...)
	raw = binary.BigEndian.AppendUint64(raw, counter)
	raw = appendPlaintext(raw)
	raw = aead.Seal(raw[:headerSize], nonce, raw[headerSize:], additionalData)

	end := start + encoding.EncodedLen(len(raw))
	encoding.Encode(dst[start:end], raw)
	return dst[:end]
}

// open decrypts a text that seal made for this account.
func (r *KeyRing) open(text, account, purpose string) ([]byte, bool) {
	if len(text) > maxSealedSize {
		return nil, false
	}
	raw, err := encoding.DecodeString(text)
	if err != nil || len(raw) < headerSize+tagSize {
		return nil, false
	}
	secret, found := r.keys.Load().secrets[binary.BigEndian.Uint32(raw)]
	if !found {
		return nil, false
	}
	aead, err := deriveAEAD(secret, raw[keyIDSize:keyIDSize+saltSize], purpose)
	if err != nil {
		return nil, false
	}
	var nonce [12]byte
	copy(nonce[4:], raw[keyIDSize+saltSize:headerSize])
	plaintext, err := aead.Open(nil, nonce[:], raw[headerSize:], []byte(account))
	return plaintext, err == nil
}

func extend(dst []byte, extra int) []byte {
	if cap(dst)-len(dst) < extra {
		enlarged := make([]byte, len(dst), len(dst)+extra)
		copy(enlarged, dst)
		dst = enlarged
	}
	return dst[:len(dst)+extra]
}
