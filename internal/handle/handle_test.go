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

var start = time.Unix(1_800_000_000, 0)

func sample() handle.Handle {
	return handle.Handle{
		Account: "foundation", Service: "reports", Target: "10.0.0.7:9000", Generation: "g-0190a1b2",
		Offset: 1234, Finished: true, Issued: start, Expires: start.Add(10 * time.Minute),
	}
}

func secret(id uint32) handle.Secret {
	return handle.Secret{ID: id, Bytes: bytes.Repeat([]byte{byte(id)}, 32)}
}

func ring(ids ...uint32) *handle.KeyRing {
	var secrets []handle.Secret
	for _, id := range ids {
		secrets = append(secrets, secret(id))
	}
	r, err := handle.NewKeyRing(secrets)
	Expect(err).NotTo(HaveOccurred())
	return r
}

var _ = Describe("a resume handle", func() {
	It("opens at any entry that has the key, for its account only", func() {
		text := string(ring(1).AppendSealed([]byte("id: "), sample()))[len("id: "):]
		Expect(ring(2, 1).Open(text, "foundation", start)).To(Equal(sample()))
		Expect(text).NotTo(ContainSubstring("10.0.0.7"))
	})

	// Someone edits a handle, tries another account's, or makes one up. Every
	// try must look the same, or the answers would tell which handles exist.
	It("fails in one way for whatever is wrong", func() {
		r := ring(1)
		text := string(r.AppendSealed(nil, sample()))
		raw, _ := base64.RawURLEncoding.DecodeString(text)
		var messages = map[string]bool{}
		try := func(text, account string) {
			_, err := r.Open(text, account, start)
			Expect(failure.KindOf(err)).To(Equal(failure.KindHandleInvalid))
			Expect(failure.FromError(err).Executed).To(Equal(failure.ExecutedUnknown))
			messages[err.Error()] = true
		}
		for i := range raw {
			changed := bytes.Clone(raw)
			changed[i] ^= 1
			try(base64.RawURLEncoding.EncodeToString(changed), "foundation")
		}
		try(text, "cooperative")
		try(text+"A", "foundation")
		try("", "foundation")
		try(strings.Repeat("A", 1<<20), "foundation")
		try(string(ring(9).AppendSealed(nil, sample())), "foundation")
		minted := r.Mint(handle.MintedKey{Account: "foundation", Owner: "10.0.0.1:1"})
		try(strings.TrimPrefix(minted, "fdk1."), "foundation")
		Expect(messages).To(HaveLen(1))
	})

	It("ends at its expiry", func() {
		r := ring(1)
		text := string(r.AppendSealed(nil, sample()))
		_, err := r.Open(text, "foundation", start.Add(10*time.Minute+time.Second))
		Expect(failure.KindOf(err)).To(Equal(failure.KindHandleExpired))
	})

	// Operators rotate the key while streams run. A caller's handle from before
	// must open until it expires, and no longer than the old key stays.
	It("survives a rotation while the old key stays", func() {
		r := ring(1)
		text := string(r.AppendSealed(nil, sample()))
		Expect(r.Replace([]handle.Secret{secret(2), secret(1)})).To(Succeed())
		Expect(r.Open(text, "foundation", start)).To(Equal(sample()))
		Expect(ring(2).Open(string(r.AppendSealed(nil, sample())), "foundation", start)).To(Equal(sample()))
		Expect(r.Replace([]handle.Secret{secret(2)})).To(Succeed())
		_, err := r.Open(text, "foundation", start)
		Expect(failure.KindOf(err)).To(Equal(failure.KindHandleInvalid))
	})

	// Two texts under one nonce give an attacker the key stream. Processes that
	// share the ring's key must still never meet.
	It("never seals twice alike, within a process or across two", func() {
		seen := map[string]bool{}
		for range 3 {
			r := ring(1)
			for range 100 {
				raw, _ := base64.RawURLEncoding.DecodeString(string(r.AppendSealed(nil, sample())))
				nonce := string(raw[:28])
				Expect(seen[nonce]).To(BeFalse())
				seen[nonce] = true
			}
		}
	})
})

var _ = Describe("a minted key", func() {
	minted := handle.MintedKey{Account: "park", Owner: "10.0.0.1:7001", Incarnation: 77, OwnerUptimeAtMint: 90 * time.Second, Sequence: 5}

	It("names its owner to every entry and opens for its account only", func() {
		text := ring(1).Mint(minted)
		Expect(handle.IsMinted(text)).To(BeTrue())
		Expect(ring(2, 1).OpenMinted(text, "park")).To(Equal(minted))
		for _, wrong := range []string{text + "A", text[:len(text)-1], "fdk1.", "own key", strings.ToUpper(text)} {
			_, err := ring(1).OpenMinted(wrong, "park")
			Expect(failure.KindOf(err)).To(Equal(failure.KindKeyInvalid), wrong)
		}
		_, err := ring(1).OpenMinted(text, "other park")
		Expect(failure.KindOf(err)).To(Equal(failure.KindKeyInvalid))
	})

	// A caller rewrites the last character of its key into one that decodes to
	// the same bytes. If both spellings opened, one booking could run as two.
	It("has one spelling", func() {
		r := ring(1)
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

var _ = Describe("a ring's file", func() {
	good := base64.StdEncoding.EncodeToString(bytes.Repeat([]byte{7}, 32))
	It("gives the keys in order", func() {
		secrets, err := handle.ParseSecrets([]byte("# ring\n\n12:" + good + "\n3: " + good + "\r\n"))
		Expect(err).NotTo(HaveOccurred())
		Expect([]uint32{secrets[0].ID, secrets[1].ID}).To(Equal([]uint32{12, 3}))
	})
	DescribeTable("is refused with the line's number and without its text",
		func(text, line string) {
			_, err := handle.ParseSecrets([]byte(text))
			Expect(failure.KindOf(err)).To(Equal(failure.KindSettingInvalid))
			Expect(err.Error()).To(ContainSubstring(line))
			Expect(err.Error()).NotTo(ContainSubstring("SECRET"))
		},
		Entry(nil, "", "no key"), Entry(nil, "\nSECRET", "line 2"), Entry(nil, "x:SECRET", "line 1"),
		Entry(nil, "1:SECRET", "line 1"), Entry(nil, "1:"+good+"\n1:"+good, "twice"), Entry(nil, "5000000000:"+good, "line 1"),
	)
	// Operators rotate the keys while reports run. The file is caught while it
	// is half written; taking it over would cut every caller off from its
	// report.
	It("is followed while processes run, and only whole", func() {
		path := filepath.Join(GinkgoT().TempDir(), "ring")
		write := func(text string) { Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed()) }
		write("1:" + good)
		file, err := handle.OpenFile(path)
		Expect(err).NotTo(HaveOccurred())
		text := string(file.AppendSealed(nil, sample()))
		Expect(file.ReloadIfChanged()).To(BeFalse())
		write("2:" + good[:10])
		_, err = file.ReloadIfChanged()
		Expect(failure.KindOf(err)).To(Equal(failure.KindSettingInvalid))
		Expect(file.Open(text, "foundation", start)).To(Equal(sample()))
		write("2:" + good + "\n1:" + good)
		Expect(file.ReloadIfChanged()).To(BeTrue())
		Expect(file.Open(text, "foundation", start)).To(Equal(sample()))
		Expect(os.Remove(path)).To(Succeed())
		_, err = file.ReloadIfChanged()
		Expect(failure.KindOf(err)).To(Equal(failure.KindSettingInvalid))
		_, err = handle.OpenFile(path)
		Expect(failure.KindOf(err)).To(Equal(failure.KindSettingInvalid))
	})
	It("is not empty and has whole keys", func() {
		_, err := handle.NewKeyRing([]handle.Secret{{ID: 1, Bytes: []byte("short")}})
		Expect(failure.KindOf(err)).To(Equal(failure.KindSettingInvalid))
		Expect(ring(1).Replace(nil)).NotTo(Succeed())
		_, err = handle.NewKeyRing(handle.RandomSecret())
		Expect(err).NotTo(HaveOccurred())
	})
})

func FuzzOpen(f *testing.F) {
	r, _ := handle.NewKeyRing([]handle.Secret{secret(1)})
	f.Add(string(r.AppendSealed(nil, sample())), "foundation")
	f.Add(r.Mint(handle.MintedKey{Account: "a", Owner: "o"}), "a")
	f.Fuzz(func(t *testing.T, text, account string) {
		if h, err := r.Open(text, account, start); err == nil && (account != "foundation" || h != sample()) {
			t.Fatalf("opened %q for %q as %+v", text, account, h)
		}
		if m, err := r.OpenMinted(text, account); err == nil && (account != "a" || m.Owner != "o") {
			t.Fatalf("opened %q for %q as %+v", text, account, m)
		}
	})
}

func FuzzSealOpen(f *testing.F) {
	r, _ := handle.NewKeyRing([]handle.Secret{secret(1)})
	f.Add("a", "s", "t", "g", uint64(0), int64(0))
	f.Fuzz(func(t *testing.T, account, service, target, generation string, offset uint64, issued int64) {
		if len(service)+len(target)+len(generation) > 1000 {
			return
		}
		want := handle.Handle{Account: account, Service: service, Target: target, Generation: generation,
			Offset: offset, Issued: time.Unix(issued%(1<<40), 0), Expires: time.Unix(1<<41, 0)}
		got, err := r.Open(string(r.AppendSealed(nil, want)), account, start)
		if err != nil || fmt.Sprint(got) != fmt.Sprint(want) {
			t.Fatalf("want %+v got %+v %v", want, got, err)
		}
	})
}

func BenchmarkSealTo(b *testing.B) {
	r, _ := handle.NewKeyRing([]handle.Secret{secret(1)})
	h := sample()
	buf := make([]byte, 0, 1024)
	b.ReportAllocs()
	for b.Loop() {
		h.Offset++
		buf = r.AppendSealed(buf[:0], h)
	}
	b.ReportMetric(float64(len(buf)), "bytes/handle")
}

func BenchmarkOpen(b *testing.B) {
	r, _ := handle.NewKeyRing([]handle.Secret{secret(1)})
	text := string(r.AppendSealed(nil, sample()))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := r.Open(text, "foundation", start); err != nil {
			b.Fatal(err)
		}
	}
}
