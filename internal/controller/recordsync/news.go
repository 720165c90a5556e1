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
	// maxInlineDeltaBytes bounds the size in bytes of a change of the
	// configuration that is sent with other news: an edit of some routes, or
	// revoked keys. Larger changes are announced, and each host fetches them
	// once.
	maxInlineDeltaBytes = 8 << 10
	// maxInlineRecords bounds the number of records sent with other news. A
	// process that starts lacks the records of all targets, thousands in a
	// large deployment.
	maxInlineRecords = 40
	// sentTTL is how long a peer is assumed to hold what was sent to it without
	// having confirmed it: probes to a peer overlap, and each would carry the
	// same news again.
	sentTTL = 400 * time.Millisecond
	// statedTTL is how long a peer's own statement of what it holds is used to
	// select news for it. After that it has usually received the news from
	// other hosts, and a neighbour that is probed every few seconds would be
	// sent all news of these seconds again.
	statedTTL = time.Second
)

// News is what one process tells another about published records.
type News struct {
	// Records holds the records that changed after the revision BaseRevision, up to
	// Revision; from 0 these are all records. The configuration is not
	// included.
	BaseRevision, Revision uint64
	// RecordsWithheld reports that there are too many records and they have to be
	// fetched.
	RecordsWithheld bool
	// Age is the time between the sender's records last being known to be
	// current and the sending; negative if they never were.
	Age time.Duration
	// IsReader reports that the sender reads the store and the store answers.
	IsReader bool
	// StoreRejectedRecently reports that the store recently rejected a call of the
	// sender.
	StoreRejectedRecently bool
	// AnswerOverdue is the time between an answer of the store being due and the
	// sending, if that answer did not arrive; 0 if no answer is overdue.
	AnswerOverdue time.Duration
	Records       []json.RawMessage
	// Config is the head of the configuration in force at the sender. Delta is
	// the change that leads to it; nil if it is too large or not needed.
	Config rollout.Head
	Delta  *rollout.Delta
}

// peerState is what another process is known to hold, as revisions of the
// store.
type peerState struct {
	stated   revisions
	statedAt time.Duration
	// sent was sent at sentAt, on the monotonic clock.
	sent   revisions
	sentAt time.Duration
}

type revisions struct{ records, config uint64 }

// knownRevisions returns what a peer holds according to its own statement and
// to what was recently sent to it.
func (p *peerState) knownRevisions(now time.Duration) revisions {
	if now-p.sentAt >= sentTTL {
		return p.stated
	}
	return revisions{max(p.stated.records, p.sent.records), max(p.stated.config, p.sent.config)}
}

// NewsFor returns the news that a peer lacks, as far as it has stated what it
// holds.
func (c *Controller) NewsFor(address string) News {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.cfg.Now()
	news := News{
		BaseRevision: c.mirror.Revision(), Revision: c.mirror.Revision(), Age: c.ageAt(now),
		IsReader: c.isReader && !c.storeFailed && c.everCurrent, StoreRejectedRecently: c.storeRejectsAt(now), Config: c.doc.rows.Head(),
	}
	if due, known := c.silence.LastOverdue(); known && c.silence.IsSuspect(c.currentAt) {
		news.AnswerOverdue = max(now-due, time.Millisecond)
	}
	peer := c.peers[address]
	if peer == nil || now-peer.statedAt >= statedTTL {
		// Nothing recent is known about the peer: it is sent the revisions
		// alone, states in its answer what it holds, and is sent the news that
		// it lacks.
		return news
	}
	held := peer.knownRevisions(now)
	if records := c.mirror.Delta(held.records); len(records) > maxInlineRecords {
		news.RecordsWithheld = true
	} else {
		news.BaseRevision, news.Records = c.mirror.DeltaBase(held.records), c.encodeRecords(records)
	}
	news.Delta = c.doc.deltaFrom(held.config, maxInlineDeltaBytes)
	if len(news.Records) > 0 || news.Delta != nil {
		peer.sent, peer.sentAt = held, now
		if !news.RecordsWithheld {
			peer.sent.records = news.Revision
		}
		if news.Delta != nil {
			peer.sent.config = news.Config.Version.Revision
		}
	}
	return news
}

func (c *Controller) encodeRecords(records []directory.Record) []json.RawMessage {
	var bodies []json.RawMessage
	for _, r := range records {
		body, err := json.Marshal(r)
		if err != nil {
			c.cfg.Log.Error("failed to encode record for a peer", "key", r.Key, "error", err)
			continue
		}
		bodies = append(bodies, body)
	}
	return bodies
}

// ApplyNews applies news from a peer. requestSentAt is the time, on the
// monotonic clock, at which the request was sent that the news answers, and
// negative for news that was not requested: its age is not used then, since it
// may have been delayed in a paused process. behind reports that the peer, when
// it answered, held less than this host.
func (c *Controller) ApplyNews(address string, news News, requestSentAt time.Duration) (behind bool) {
	records, err := decodeRecords(news.Records)
	if err != nil {
		c.cfg.Log.Warn("failed to decode news from a peer", "peer", address, "error", err)
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.cfg.Now()
	c.peers[address] = &peerState{stated: revisions{news.Revision, news.Config.Version.Revision}, statedAt: now}
	c.announcedConfig = max(c.announcedConfig, news.Config.Version.Revision)
	if news.AnswerOverdue > 0 {
		c.recordOverdue(now-news.AnswerOverdue, address)
	}
	previous := c.mirror.Revision()
	changed := c.applyRecordChanges(now, news.BaseRevision, news.Revision, records)
	if news.Delta != nil {
		changed = c.applyConfigDelta(now, address, *news.Delta) || changed
	}
	if changed {
		c.viewPublished = true
		c.publish(now, address)
		c.cfg.Log.Info("news taken from a peer", "peer", address, "records", len(records), "revision", c.mirror.Revision(), "before", previous)
	}
	if requestSentAt >= 0 && news.Age >= 0 && c.mirror.Revision() >= news.Revision && c.doc.revision() >= news.Config.Version.Revision {
		c.confirmCurrent(requestSentAt - news.Age)
	}
	return requestSentAt >= 0 && news.Revision < previous
}

// applyRecordChanges applies the records that changed between two revisions.
func (c *Controller) applyRecordChanges(now time.Duration, from, to uint64, records []directory.Record) bool {
	switch {
	case from == 0 && to > 0:
		return c.mirror.ApplySnapshot(now, records, to)
	case from <= c.mirror.Revision():
		return c.mirror.MergeFromPeer(now, records, to)
	}
	// The changes between the revision held here and from are missing.
	return c.mirror.MergeFromPeer(now, records, 0)
}

// applyConfigDelta applies a small change of the configuration. A delta that
// does not apply to the revision held here is ignored: the whole configuration
// is fetched because of the head that came with it.
func (c *Controller) applyConfigDelta(now time.Duration, address string, delta rollout.Delta) bool {
	cfg, gap, err := c.doc.applyDelta(delta)
	if err != nil {
		c.cfg.Log.Warn("failed to decode configuration from a peer", "peer", address, "error", err)
	}
	if gap {
		c.cfg.Log.Debug("configuration delta from a peer does not apply to the revision held", "peer", address, "from", delta.From.String(), "held", c.doc.revision())
	}
	return c.updateMirrorConfig(now, cfg)
}

// updateMirrorConfig passes a new configuration to the mirror; nil means that
// it did not change.
func (c *Controller) updateMirrorConfig(now time.Duration, cfg *directory.Config) bool {
	if cfg == nil {
		return false
	}
	record := directory.Record{Key: directory.ConfigKey, Revision: c.doc.revision(), Config: cfg}
	return c.mirror.ApplyChanges(now, []directory.Record{record}, 0)
}

// HeldRevisions returns the store's revision of the configuration in force, 0 if there
// is none, the revision up to which all other records are known, and the one up
// to which both are.
func (c *Controller) HeldRevisions() (config, records, both uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.doc.revision(), c.mirror.Revision(), c.completeRevisionLocked()
}

// DeltaBundle is what another process lacks, compressed once for all processes that
// lack the same. Parts that the process has are empty.
type DeltaBundle struct{ Config, Records []byte }

// Size returns the size in bytes.
func (b DeltaBundle) Size() int { return len(b.Config) + len(b.Records) }

// BuildBundle returns the changes from the given revisions of the configuration and
// the records to those held here.
func (c *Controller) BuildBundle(config, records uint64) (b DeltaBundle, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.doc.revision() > config {
		if b.Config, err = c.doc.compressedSince(config); err != nil {
			return DeltaBundle{}, err
		}
	}
	if c.mirror.Revision() > records {
		b.Records, err = c.compressRecords(records)
	}
	return b, err
}

// compressRecords compresses the changes from a revision to the records held
// here.
func (c *Controller) compressRecords(after uint64) ([]byte, error) {
	from, to := c.mirror.DeltaBase(after), c.mirror.Revision()
	if c.compressedRecords.from == from && c.compressedRecords.to == to {
		return c.compressedRecords.bytes, nil
	}
	news := &filbertv1.PublishedNews{From: from, Revision: to}
	for _, r := range c.encodeRecords(c.mirror.Delta(after)) {
		news.Records = append(news.Records, r)
	}
	plain, err := proto.Marshal(news)
	if err != nil {
		return nil, failure.Wrap(err, failure.KindInternal, "encode records")
	}
	compressed, err := compress(plain)
	if err != nil {
		return nil, err
	}
	c.compressedRecords = compressedDelta{from: from, to: to, bytes: compressed}
	return compressed, nil
}

// ApplyBundle applies what a peer sent in answer to a fetch. gap reports that the
// configuration does not apply to the revision held here and has to be fetched
// whole.
func (c *Controller) ApplyBundle(address string, b DeltaBundle) (gap bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now, previous := c.cfg.Now(), c.mirror.Revision()
	changed := false
	if len(b.Config) > 0 {
		var cfg *directory.Config
		if cfg, gap, err = c.doc.applyCompressed(b.Config); err != nil {
			return false, err
		}
		changed = c.updateMirrorConfig(now, cfg)
	}
	if len(b.Records) > 0 {
		recordsChanged, err := c.applyCompressedRecords(now, b.Records)
		if err != nil {
			return gap, err
		}
		changed = recordsChanged || changed
	}
	if changed {
		c.viewPublished = true
		c.publish(now, address)
		c.cfg.Log.Info("fetched from a peer", "peer", address, "bytes", b.Size(),
			"config", c.doc.revision(), "revision", c.mirror.Revision(), "before", previous)
	}
	return gap, nil
}

func (c *Controller) applyCompressedRecords(now time.Duration, compressed []byte) (changed bool, err error) {
	plain, err := decompress(compressed)
	if err != nil {
		return false, err
	}
	var news filbertv1.PublishedNews
	if err := proto.Unmarshal(plain, &news); err != nil {
		return false, failure.Wrap(err, failure.KindConfigUnreadable, "decode records from a peer")
	}
	bodies := make([]json.RawMessage, len(news.GetRecords()))
	for i, r := range news.GetRecords() {
		bodies[i] = r
	}
	records, err := decodeRecords(bodies)
	if err != nil {
		return false, err
	}
	return c.applyRecordChanges(now, news.GetFrom(), news.GetRevision(), records), nil
}

func decodeRecords(bodies []json.RawMessage) ([]directory.Record, error) {
	records := make([]directory.Record, len(bodies))
	for i, body := range bodies {
		if err := json.Unmarshal(body, &records[i]); err != nil {
			return nil, failure.Wrap(err, failure.KindConfigUnreadable, "decode record %d", i)
		}
	}
	return records, nil
}

// confirmCurrent records that the records held here were current at a time.
func (c *Controller) confirmCurrent(at time.Duration) {
	if !c.everCurrent || at > c.currentAt {
		c.currentAt = at
	}
	c.everCurrent = true
	c.mirror.ConfirmUpToDate(c.currentAt)
}

// RejectionTTL is how long a host is avoided as a source of news after the store
// rejected one of its calls.
const RejectionTTL = 3 * time.Second

// StoreRejectedRecently reports whether the store recently rejected a call of this host.
func (c *Controller) StoreRejectedRecently() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.storeRejectsAt(c.cfg.Now())
}

func (c *Controller) storeRejectsAt(now time.Duration) bool {
	return c.storeFailed && now-c.failedAt < RejectionTTL
}

// ageAt is Age at a time, negative if the records were never known to be
// current. The caller holds the lock.
func (c *Controller) ageAt(now time.Duration) time.Duration {
	if !c.everCurrent {
		return -1
	}
	return now - c.currentAt
}

// Age returns the time since the records held here were last known to be
// current; false if they never were.
func (c *Controller) Age() (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cfg.Now() - c.currentAt, c.everCurrent
}

// SuspectsStoreOutage reports whether the store may have stopped answering: an answer is
// overdue here or at another host, and no later call was answered.
func (c *Controller) SuspectsStoreOutage() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silence.IsSuspect(c.currentAt)
}

// recordOverdue records that an answer of the store was due at a time and did
// not arrive. peer is the peer that reported it, empty if this host noticed it.
// The caller holds the lock.
func (c *Controller) recordOverdue(due time.Duration, peer string) {
	if !c.silence.RecordOverdue(due) || !c.silence.IsSuspect(c.currentAt) {
		return
	}
	c.cfg.Log.Info("store suspected to be silent", "overdue_for", c.cfg.Now()-due, "peer", peer, "age", c.cfg.Now()-c.currentAt)
	if peer == "" {
		c.signalNews()
	}
}

// NeedsPeerNews reports whether this host depends on other hosts for published records:
// it does not read the store, or its calls to the store fail.
func (c *Controller) NeedsPeerNews() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.storeFailed || !c.isReader
}
