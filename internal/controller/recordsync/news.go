package recordsync

import (
	"encoding/json"
	"time"

	"google.golang.org/protobuf/proto"

	"filbertdeck/internal/api/filbertv1"
	"filbertdeck/internal/decide/rollout"
	"filbertdeck/internal/directory"
	"filbertdeck/internal/failure"
)

const (
	// shortDelta is the size in bytes up to which a change of the configuration
	// goes along with other news: an edit of some routes, or keys taken back.
	// What is longer is announced, and fetched by each host once.
	shortDelta = 8 << 10
	// mostRecords is the number of records that go along with other news. A process
	// that starts lacks those of all targets, thousands in a large deployment.
	mostRecords = 40
	// toldFor is how long what was sent to a peer counts as held there without
	// its word: probes to a peer overlap, and each would carry the same news
	// again.
	toldFor = 400 * time.Millisecond
	// statedFor is how long a peer's word of what it holds is worth telling it
	// more by. By then it has mostly heard the news elsewhere, and a neighbour that
	// is probed every few seconds would be sent all news of these seconds again.
	statedFor = time.Second
)

// News is what one process tells another of what is published.
type News struct {
	// Records changed after the revision BaseRevision, up to Revision; from 0 they are
	// all that exist. The configuration is not among them.
	BaseRevision, Revision uint64
	// RecordsWithheld says that they are too many and have to be fetched.
	RecordsWithheld bool
	// Age is how long before the telling it was known that nothing newer was
	// published; negative when it never was.
	Age time.Duration
	// IsReader says that the process reads the store, and the store answers.
	IsReader bool
	// StoreRejectedRecently says that the store rejected a call of the process lately.
	StoreRejectedRecently bool
	// AnswerOverdue is how long before the telling an answer of the store was due that
	// did not come; 0 when all came in time.
	AnswerOverdue time.Duration
	Records       []json.RawMessage
	// Config is the head of the configuration in force there; Delta leads to it
	// where that is short, nil else.
	Config rollout.Head
	Delta  *rollout.Delta
}

// peer is what is known of what another process holds, as revisions of the
// store.
type peer struct {
	stated   held
	statedAt time.Duration
	// told was sent at toldAt, on the steady clock.
	told   held
	toldAt time.Duration
}

type held struct{ records, config uint64 }

// holds gives what a peer holds, as far as it said so or was just told.
func (p *peer) holds(now time.Duration) held {
	if now-p.toldAt >= toldFor {
		return p.stated
	}
	return held{max(p.stated.records, p.told.records), max(p.stated.config, p.told.config)}
}

// NewsFor gives what a peer lacks, as far as it has said what it holds.
func (c *Controller) NewsFor(address string) News {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.cfg.Now()
	n := News{
		BaseRevision: c.mirror.Revision(), Revision: c.mirror.Revision(), Age: c.ageAt(now),
		IsReader: c.reading && !c.lost && c.confirmed, StoreRejectedRecently: c.rejectedAt(now), Config: c.doc.rows.Head(),
	}
	if due, ever := c.silence.LastOverdue(); ever && c.silence.IsSuspect(c.currentAt) {
		n.AnswerOverdue = max(now-due, time.Millisecond)
	}
	p := c.peers[address]
	if p == nil || now-p.statedAt >= statedFor {
		// Nothing is known of the peer by now: it is told the revisions alone, says
		// in its answer what it holds, and is told more if it lacks any.
		return n
	}
	lacks := p.holds(now)
	if records := c.mirror.Delta(lacks.records); len(records) > mostRecords {
		n.RecordsWithheld = true
	} else {
		n.BaseRevision, n.Records = c.mirror.DeltaBase(lacks.records), c.encode(records)
	}
	n.Delta = c.doc.deltaFrom(lacks.config, shortDelta)
	if len(n.Records) > 0 || n.Delta != nil {
		p.told, p.toldAt = lacks, now
		if !n.RecordsWithheld {
			p.told.records = n.Revision
		}
		if n.Delta != nil {
			p.told.config = n.Config.Version.Revision
		}
	}
	return n
}

func (c *Controller) encode(records []directory.Record) []json.RawMessage {
	var out []json.RawMessage
	for _, r := range records {
		body, err := json.Marshal(r)
		if err != nil {
			c.cfg.Log.Error("record can't be told to a peer", "key", r.Key, "error", err)
			continue
		}
		out = append(out, body)
	}
	return out
}

// ApplyNews takes what a peer told. asked is when the question was asked that
// the news answer, on the steady clock, negative when they came unasked: then
// their age proves nothing, they may have lain in a paused process. behind
// tells that the peer still holds less than is held here after it was told.
func (c *Controller) ApplyNews(address string, n News, asked time.Duration) (behind bool) {
	records, err := parse(n.Records)
	if err != nil {
		c.cfg.Log.Warn("news of a peer can't be read", "peer", address, "error", err)
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.cfg.Now()
	c.peers[address] = &peer{stated: held{n.Revision, n.Config.Version.Revision}, statedAt: now}
	c.announced = max(c.announced, n.Config.Version.Revision)
	if n.AnswerOverdue > 0 {
		c.overdue(now-n.AnswerOverdue, address)
	}
	before := c.mirror.Revision()
	changed := c.takeChanges(now, n.BaseRevision, n.Revision, records)
	if n.Delta != nil {
		changed = c.takeDelta(now, address, *n.Delta) || changed
	}
	if changed {
		c.known = true
		c.publish(now, address)
		c.cfg.Log.Info("news taken from a peer", "peer", address, "records", len(records), "revision", c.mirror.Revision(), "before", before)
	}
	if asked >= 0 && n.Age >= 0 && c.mirror.Revision() >= n.Revision && c.doc.revision() >= n.Config.Version.Revision {
		c.confirm(asked - n.Age)
	}
	return asked >= 0 && n.Revision < before
}

// takeChanges takes the records that changed between two revisions.
func (c *Controller) takeChanges(now time.Duration, from, to uint64, records []directory.Record) bool {
	switch {
	case from == 0 && to > 0:
		return c.mirror.ApplySnapshot(now, records, to)
	case from <= c.mirror.Revision():
		return c.mirror.MergeFromPeer(now, records, to)
	}
	// What was published between is missing here.
	return c.mirror.MergeFromPeer(now, records, 0)
}

// takeDelta takes a short change of the configuration. One that doesn't fit is
// passed over: the head that came with it has the whole fetched.
func (c *Controller) takeDelta(now time.Duration, address string, delta rollout.Delta) bool {
	cfg, gap, err := c.doc.take(delta)
	if err != nil {
		c.cfg.Log.Warn("configuration of a peer can't be read", "peer", address, "error", err)
	}
	if gap {
		c.cfg.Log.Debug("configuration of a peer starts elsewhere", "peer", address, "from", delta.From.String(), "held", c.doc.revision())
	}
	return c.putConfig(now, cfg)
}

// putConfig hands the configuration in force to the mirror; nil is none.
func (c *Controller) putConfig(now time.Duration, cfg *directory.Config) bool {
	if cfg == nil {
		return false
	}
	record := directory.Record{Key: directory.ConfigKey, Revision: c.doc.revision(), Config: cfg}
	return c.mirror.ApplyChanges(now, []directory.Record{record}, 0)
}

// HeldRevisions gives the store's revision at the configuration in force, 0 for none,
// that up to which all other records are known, and that up to which both are.
func (c *Controller) HeldRevisions() (config, records, both uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.doc.revision(), c.mirror.Revision(), c.complete()
}

// DeltaBundle is what a process lacks that holds less, compressed once for all that
// lack the same. Parts that it has are empty.
type DeltaBundle struct{ Config, Records []byte }

// Size is the number of bytes in it.
func (b DeltaBundle) Size() int { return len(b.Config) + len(b.Records) }

// BuildBundle gives what leads from the configuration and the records of some revisions
// to those held here.
func (c *Controller) BuildBundle(config, records uint64) (b DeltaBundle, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.doc.revision() > config {
		if b.Config, err = c.doc.pack(config); err != nil {
			return DeltaBundle{}, err
		}
	}
	if c.mirror.Revision() > records {
		b.Records, err = c.packRecords(records)
	}
	return b, err
}

// packRecords compresses what leads from a revision to what is held here.
func (c *Controller) packRecords(after uint64) ([]byte, error) {
	from, to := c.mirror.DeltaBase(after), c.mirror.Revision()
	if c.packed.from == from && c.packed.to == to {
		return c.packed.bytes, nil
	}
	news := &filbertv1.PublishedNews{From: from, Revision: to}
	for _, r := range c.encode(c.mirror.Delta(after)) {
		news.Records = append(news.Records, r)
	}
	plain, err := proto.Marshal(news)
	if err != nil {
		return nil, failure.Wrap(err, failure.KindInternal, "records can't be encoded")
	}
	packed, err := compress(plain)
	if err != nil {
		return nil, err
	}
	c.packed = packedDelta{from: from, to: to, bytes: packed}
	return packed, nil
}

// ApplyBundle takes what a peer's Pack gave. gap tells that the configuration
// doesn't fit to what is held here and the whole has to be fetched.
func (c *Controller) ApplyBundle(address string, b DeltaBundle) (gap bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now, before := c.cfg.Now(), c.mirror.Revision()
	changed := false
	if len(b.Config) > 0 {
		var cfg *directory.Config
		if cfg, gap, err = c.doc.takePacked(b.Config); err != nil {
			return false, err
		}
		changed = c.putConfig(now, cfg)
	}
	if len(b.Records) > 0 {
		news, err := c.takeRecords(now, b.Records)
		if err != nil {
			return gap, err
		}
		changed = news || changed
	}
	if changed {
		c.known = true
		c.publish(now, address)
		c.cfg.Log.Info("fetched from a peer", "peer", address, "bytes", b.Size(),
			"config", c.doc.revision(), "revision", c.mirror.Revision(), "before", before)
	}
	return gap, nil
}

func (c *Controller) takeRecords(now time.Duration, packed []byte) (changed bool, err error) {
	plain, err := decompress(packed)
	if err != nil {
		return false, err
	}
	var news filbertv1.PublishedNews
	if err := proto.Unmarshal(plain, &news); err != nil {
		return false, failure.Wrap(err, failure.KindConfigUnreadable, "records of a peer")
	}
	bodies := make([]json.RawMessage, len(news.GetRecords()))
	for i, r := range news.GetRecords() {
		bodies[i] = r
	}
	records, err := parse(bodies)
	if err != nil {
		return false, err
	}
	return c.takeChanges(now, news.GetFrom(), news.GetRevision(), records), nil
}

func parse(bodies []json.RawMessage) ([]directory.Record, error) {
	records := make([]directory.Record, len(bodies))
	for i, body := range bodies {
		if err := json.Unmarshal(body, &records[i]); err != nil {
			return nil, failure.Wrap(err, failure.KindConfigUnreadable, "record %d", i)
		}
	}
	return records, nil
}

// confirm notes that nothing newer than what is held here was published at a
// time.
func (c *Controller) confirm(at time.Duration) {
	if !c.confirmed || at > c.currentAt {
		c.currentAt = at
	}
	c.confirmed = true
	c.mirror.ConfirmUpToDate(c.currentAt)
}

// RejectionTTL is how long a call that the store rejected counts against a host
// as a source of news. It tries again after that.
const RejectionTTL = 3 * time.Second

// StoreRejectedRecently tells whether the store rejected a call of this host lately.
func (c *Controller) StoreRejectedRecently() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rejectedAt(c.cfg.Now())
}

func (c *Controller) rejectedAt(now time.Duration) bool {
	return c.lost && now-c.failedAt < RejectionTTL
}

// ageAt is Age at a time, negative when nothing was ever known; with the lock held.
func (c *Controller) ageAt(now time.Duration) time.Duration {
	if !c.confirmed {
		return -1
	}
	return now - c.currentAt
}

// Age is how long ago it was known that nothing newer had been published than
// is believed here; false when it never was.
func (c *Controller) Age() (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cfg.Now() - c.currentAt, c.confirmed
}

// SuspectsStoreOutage tells whether the store may have fallen silent: an answer of its is
// overdue here or at another host, and no later call was answered.
func (c *Controller) SuspectsStoreOutage() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silence.IsSuspect(c.currentAt)
}

// overdue notes an answer of the store that was due at a time and has not come,
// as a peer said or, with an empty name, this host saw. It is called with the
// lock held.
func (c *Controller) overdue(due time.Duration, peer string) {
	if !c.silence.RecordOverdue(due) || !c.silence.IsSuspect(c.currentAt) {
		return
	}
	c.cfg.Log.Info("store suspected to be silent", "overdue_for", c.cfg.Now()-due, "peer", peer, "age", c.cfg.Now()-c.currentAt)
	if peer == "" {
		c.tell()
	}
}

// NeedsPeerNews tells whether this host needs others to tell it what is published: it
// does not read the store, or the store does not answer it.
func (c *Controller) NeedsPeerNews() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lost || !c.reading
}
