package handle

import (
	"crypto/sha256"
	"os"
	"sync"

	"filbertdeck/internal/failure"
)

// KeyRingFile is a ring whose keys are read from a file. Operators edit the file to
// rotate the keys while processes run.
type KeyRingFile struct {
	*KeyRing
	path string

	mu     sync.Mutex
	digest [sha256.Size]byte
}

// OpenFile reads a key ring file. Its errors are of KindSettingInvalid.
func OpenFile(path string) (*KeyRingFile, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, failure.Wrap(err, failure.KindSettingInvalid, "key ring %s", path)
	}
	secrets, err := ParseSecrets(content)
	if err != nil {
		return nil, err
	}
	ring, err := NewKeyRing(secrets)
	if err != nil {
		return nil, err
	}
	return &KeyRingFile{KeyRing: ring, path: path, digest: sha256.Sum256(content)}, nil
}

// ReloadIfChanged reloads the file if its content changed and reports whether it did.
// An invalid file leaves the keys unchanged: otherwise a file that is read
// while it is being written would invalidate every handle and minted key. Call
// it every few seconds.
func (f *KeyRingFile) ReloadIfChanged() (changed bool, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	content, err := os.ReadFile(f.path)
	if err != nil {
		return false, failure.Wrap(err, failure.KindSettingInvalid, "key ring %s", f.path)
	}
	sum := sha256.Sum256(content)
	if sum == f.digest {
		return false, nil
	}
	secrets, err := ParseSecrets(content)
	if err != nil {
		return false, err
	}
	if err := f.Replace(secrets); err != nil {
		return false, err
	}
	f.digest = sum
	return true, nil
}
