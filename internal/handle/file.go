package handle

import (
	"crypto/sha256"
	"os"
	"sync"

	"filbertdeck/internal/failure"
)

// KeyRingFile is a ring whose keys come from a file that operators change to rotate
// them, while processes run.
type KeyRingFile struct {
	*KeyRing
	path string

	mu   sync.Mutex
	seen [sha256.Size]byte
}

// OpenFile reads a ring's file; it fails with KindSettingInvalid.
func OpenFile(path string) (*KeyRingFile, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, failure.Wrap(err, failure.KindSettingInvalid, "key ring %s", path)
	}
	secrets, err := ParseSecrets(text)
	if err != nil {
		return nil, err
	}
	ring, err := NewKeyRing(secrets)
	if err != nil {
		return nil, err
	}
	return &KeyRingFile{KeyRing: ring, path: path, seen: sha256.Sum256(text)}, nil
}

// ReloadIfChanged takes a changed file over and tells whether there was a change. A
// file that can't be used changes nothing: a rotation that is caught half-way
// would otherwise make every handle and minted key invalid. Call it every few
// seconds.
func (f *KeyRingFile) ReloadIfChanged() (changed bool, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	text, err := os.ReadFile(f.path)
	if err != nil {
		return false, failure.Wrap(err, failure.KindSettingInvalid, "key ring %s", f.path)
	}
	sum := sha256.Sum256(text)
	if sum == f.seen {
		return false, nil
	}
	secrets, err := ParseSecrets(text)
	if err != nil {
		return false, err
	}
	if err := f.Replace(secrets); err != nil {
		return false, err
	}
	f.seen = sum
	return true, nil
}
