package handle_test

import (
	"bytes"
	"encoding/base64"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/failure"
	"filbertdeck/internal/handle"
)

func TestHandle(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "handle")
}

var issuedAt = time.Unix(1_800_000_000, 0)

func sampleHandle() handle.Handle {
	return handle.Handle{
		Account: "foundation", Service: "reports", Target: "10.0.0.7:9000", Generation: "g-0190a1b2",
		Offset: 1234, Finished: true, Issued: issuedAt, Expires: issuedAt.Add(10 * time.Minute),
	}
}

func testSecret(id uint32) handle.Secret {
	return handle.Secret{ID: id, Bytes: bytes.Repeat([]byte{byte(id)}, 32)}
}

func newRing(ids ...uint32) *handle.KeyRing {
	var secrets []handle.Secret
	for _, id := range ids {
		secrets = append(secrets, testSecret(id))
	}
	r, err := handle.NewKeyRing(secrets)
	Expect(err).NotTo(HaveOccurred())
	return r
}

var _ = Describe("a resume handle", func() {
	It("opens on any entry that has the key, for its own account only", func() {
		text := string(newRing(1).AppendSealed([]byte("id: "), sampleHandle()))[len("id: "):]
		Expect(newRing(2, 1).Open(text, "foundation", issuedAt)).To(Equal(sampleHandle()))
		Expect(text).NotTo(ContainSubstring("10.0.0.7"))
	})

	// Different errors for altered, foreign and made-up handles would reveal
	// which handles exist.
	It("fails with the same error whatever is wrong", func() {
		r := newRing(1)
		text := string(r.AppendSealed(nil, sampleHandle()))
		raw, _ := base64.RawURLEncoding.DecodeString(text)
		var messages = map[string]bool{}
		expectInvalid := func(text, account string) {
			_, err := r.Open(text, account, issuedAt)
			Expect(failure.KindOf(err)).To(Equal(failure.KindHandleInvalid))
			Expect(failure.FromError(err).Executed).To(Equal(failure.ExecutedUnknown))
			messages[err.Error()] = true
		}
		for i := range raw {
			altered := bytes.Clone(raw)
			altered[i] ^= 1
			expectInvalid(base64.RawURLEncoding.EncodeToString(altered), "foundation")
		}
		expectInvalid(text, "cooperative")
		expectInvalid(text+"A", "foundation")
		expectInvalid("", "foundation")
		expectInvalid(strings.Repeat("A", 1<<20), "foundation")
		expectInvalid(string(newRing(9).AppendSealed(nil, sampleHandle())), "foundation")
		minted := r.Mint(handle.MintedKey{Account: "foundation", Owner: "10.0.0.1:1"})
		expectInvalid(strings.TrimPrefix(minted, "fdk1."), "foundation")
		Expect(messages).To(HaveLen(1))
	})

	It("expires", func() {
		r := newRing(1)
		text := string(r.AppendSealed(nil, sampleHandle()))
		_, err := r.Open(text, "foundation", issuedAt.Add(10*time.Minute+time.Second))
		Expect(failure.KindOf(err)).To(Equal(failure.KindHandleExpired))
	})

	// When operators rotate the key while streams run, handles that were sealed
	// with the old key must open for as long as that key is in the ring.
	It("opens after a rotation while the old key is in the ring", func() {
		r := newRing(1)
		text := string(r.AppendSealed(nil, sampleHandle()))
		Expect(r.Replace([]handle.Secret{testSecret(2), testSecret(1)})).To(Succeed())
		Expect(r.Open(text, "foundation", issuedAt)).To(Equal(sampleHandle()))
		Expect(newRing(2).Open(string(r.AppendSealed(nil, sampleHandle())), "foundation", issuedAt)).To(Equal(sampleHandle()))
		Expect(r.Replace([]handle.Secret{testSecret(2)})).To(Succeed())
		_, err := r.Open(text, "foundation", issuedAt)
		Expect(failure.KindOf(err)).To(Equal(failure.KindHandleInvalid))
	})

	// Two texts under the same key and nonce reveal the key stream to an
	// attacker. Processes that share a ring key must never reuse a nonce.
	It("never reuses a nonce, within a process or across processes", func() {
		seen := map[string]bool{}
		for range 3 {
			r := newRing(1)
			for range 100 {
				raw, _ := base64.RawURLEncoding.DecodeString(string(r.AppendSealed(nil, sampleHandle())))
				nonce := string(raw[:28])
				Expect(seen[nonce]).To(BeFalse())
				seen[nonce] = true
			}
		}
	})
})

var _ = Describe("a minted key", func() {
	minted := handle.MintedKey{Account: "park", Owner: "10.0.0.1:7001", Incarnation: 77, OwnerUptimeAtMint: 90 * time.Second, Sequence: 5}

	It("identifies its owner on every entry and opens for its own account only", func() {
		text := newRing(1).Mint(minted)
		Expect(handle.IsMinted(text)).To(BeTrue())
		Expect(newRing(2, 1).OpenMinted(text, "park")).To(Equal(minted))
		for _, invalid := range []string{text + "A", text[:len(text)-1], "fdk1.", "own key", strings.ToUpper(text)} {
			_, err := newRing(1).OpenMinted(invalid, "park")
			Expect(failure.KindOf(err)).To(Equal(failure.KindKeyInvalid), invalid)
		}
		_, err := newRing(1).OpenMinted(text, "other park")
		Expect(failure.KindOf(err)).To(Equal(failure.KindKeyInvalid))
	})

	// Lenient base64 decodes several last characters to the same bytes. If more
	// than one encoding of a key opened, one call could run twice.
	It("has exactly one valid encoding", func() {
		r := newRing(1)
		for n := range 3 {
			m := minted
			m.Owner += strings.Repeat("x", n)
			text := r.Mint(m)
			for c := range 128 {
				other := text[:len(text)-1] + string(rune(c))
				if _, err := r.OpenMinted(other, "park"); err == nil {
					Expect(other).To(Equal(text))
				}
			}
		}
	})
})

var _ = Describe("a key ring file", func() {
	validKey := base64.StdEncoding.EncodeToString(bytes.Repeat([]byte{7}, 32))
	It("is parsed into keys in the order of its lines", func() {
		secrets, err := handle.ParseSecrets([]byte("# ring\n\n12:" + validKey + "\n3: " + validKey + "\r\n"))
		Expect(err).NotTo(HaveOccurred())
		Expect([]uint32{secrets[0].ID, secrets[1].ID}).To(Equal([]uint32{12, 3}))
	})
	DescribeTable("is rejected with the line number and without the line's text",
		func(text, line string) {
			_, err := handle.ParseSecrets([]byte(text))
			Expect(failure.KindOf(err)).To(Equal(failure.KindSettingInvalid))
			Expect(err.Error()).To(ContainSubstring(line))
			Expect(err.Error()).NotTo(ContainSubstring("SECRET"))
		},
		Entry(nil, "", "no key"), Entry(nil, "\nSECRET", "line 2"), Entry(nil, "x:SECRET", "line 1"),
		Entry(nil, "1:SECRET", "line 1"), Entry(nil, "1:"+validKey+"\n1:"+validKey, "twice"), Entry(nil, "5000000000:"+validKey, "line 1"),
	)
	// If the file is read while an operator is still writing it, loading the
	// partial keys would make every caller's handle invalid.
	It("is reloaded after a change, but not while it is invalid", func() {
		path := filepath.Join(GinkgoT().TempDir(), "ring")
		write := func(text string) { Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed()) }
		write("1:" + validKey)
		file, err := handle.OpenFile(path)
		Expect(err).NotTo(HaveOccurred())
		text := string(file.AppendSealed(nil, sampleHandle()))
		Expect(file.ReloadIfChanged()).To(BeFalse())
		write("2:" + validKey[:10])
		_, err = file.ReloadIfChanged()
		Expect(failure.KindOf(err)).To(Equal(failure.KindSettingInvalid))
		Expect(file.Open(text, "foundation", issuedAt)).To(Equal(sampleHandle()))
		write("2:" + validKey + "\n1:" + validKey)
		Expect(file.ReloadIfChanged()).To(BeTrue())
		Expect(file.Open(text, "foundation", issuedAt)).To(Equal(sampleHandle()))
		Expect(os.Remove(path)).To(Succeed())
		_, err = file.ReloadIfChanged()
		Expect(failure.KindOf(err)).To(Equal(failure.KindSettingInvalid))
		_, err = handle.OpenFile(path)
		Expect(failure.KindOf(err)).To(Equal(failure.KindSettingInvalid))
	})
	It("must have at least one key, and keys of full length", func() {
		_, err := handle.NewKeyRing([]handle.Secret{{ID: 1, Bytes: []byte("short")}})
		Expect(failure.KindOf(err)).To(Equal(failure.KindSettingInvalid))
		Expect(newRing(1).Replace(nil)).NotTo(Succeed())
		_, err = handle.NewKeyRing(handle.RandomSecret())
		Expect(err).NotTo(HaveOccurred())
	})
})

func FuzzOpen(f *testing.F) {
	r, _ := handle.NewKeyRing([]handle.Secret{testSecret(1)})
	f.Add(string(r.AppendSealed(nil, sampleHandle())), "foundation")
	f.Add(r.Mint(handle.MintedKey{Account: "a", Owner: "o"}), "a")
	f.Fuzz(func(t *testing.T, text, account string) {
		if h, err := r.Open(text, account, issuedAt); err == nil && (account != "foundation" || h != sampleHandle()) {
			t.Fatalf("opened %q for %q as %+v", text, account, h)
		}
		if m, err := r.OpenMinted(text, account); err == nil && (account != "a" || m.Owner != "o") {
			t.Fatalf("opened %q for %q as %+v", text, account, m)
		}
	})
}

func FuzzSealOpen(f *testing.F) {
	r, _ := handle.NewKeyRing([]handle.Secret{testSecret(1)})
	f.Add("a", "s", "t", "g", uint64(0), int64(0))
	f.Fuzz(func(t *testing.T, account, service, target, generation string, offset uint64, issued int64) {
		if len(service)+len(target)+len(generation) > 1000 {
			return
		}
		want := handle.Handle{Account: account, Service: service, Target: target, Generation: generation,
			Offset: offset, Issued: time.Unix(issued%(1<<40), 0), Expires: time.Unix(1<<41, 0)}
		got, err := r.Open(string(r.AppendSealed(nil, want)), account, issuedAt)
		if err != nil || fmt.Sprint(got) != fmt.Sprint(want) {
			t.Fatalf("want %+v got %+v %v", want, got, err)
		}
	})
}

func BenchmarkSealTo(b *testing.B) {
	r, _ := handle.NewKeyRing([]handle.Secret{testSecret(1)})
	h := sampleHandle()
	buf := make([]byte, 0, 1024)
	b.ReportAllocs()
	for b.Loop() {
		h.Offset++
		buf = r.AppendSealed(buf[:0], h)
	}
	b.ReportMetric(float64(len(buf)), "bytes/handle")
}

func BenchmarkOpen(b *testing.B) {
	r, _ := handle.NewKeyRing([]handle.Secret{testSecret(1)})
	text := string(r.AppendSealed(nil, sampleHandle()))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := r.Open(text, "foundation", issuedAt); err != nil {
			b.Fatal(err)
		}
	}
}
