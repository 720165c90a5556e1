package recordsync

import (
	"cmp"
	"encoding/json"
	"time"

	"google.golang.org/protobuf/proto"

	"filbertdeck/internal/api/filbertv1"
	"filbertdeck/internal/decide/fetch"
	"filbertdeck/internal/decide/mirror"
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
	// amendmentsTTL is how long a peer is assumed to hold amendments that were
	// sent to it. They are not confirmed, so that a lost message is repeated.
	amendmentsTTL = 2 * time.Second
)

// News is what one process tells another about published records.
type News struct {
	// Records holds the records that changed after the position Base, up to At;
	// from zero these are all records. The configuration is not included.
	Base, At directory.Position
	// Amendments holds records up to At that the store's copy lacks or has in an
	// older state.
	Amendments []json.RawMessage
	// Restore is what the sender knows of the store's last restore, with the
	// time since SeenAt in RestoreAge.
	Restore    mirror.Restore
	RestoreAge time.Duration
	// ConfigAt is the position up to which the sender knows all changes of the
	// configuration.
	ConfigAt directory.Position
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

// peerState is what another process is known to hold.
type peerState struct {
	stated   Holding
	statedAt time.Duration
	// sent was sent at sentAt, on the monotonic clock.
	sent   Holding
	sentAt time.Duration
}

// sentAmendments says at which number of changes amendments were sent, and when.
type sentAmendments struct {
	version uint64
	at      time.Duration
}

// Holding says which published data a process holds.
type Holding = fetch.Holding

// held returns what a peer holds according to its own statement and to what was
// recently sent to it.
func (p *peerState) held(now time.Duration) Holding {
	if now-p.sentAt >= sentTTL {
		return p.stated
	}
	return p.stated.Merge(p.sent)
}

// NewsFor returns the news that a peer lacks, as far as it has stated what it
// holds.
func (c *Controller) NewsFor(address string) News {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.cfg.Now()
	news := News{
		Base: c.mirror.Position(), At: c.mirror.Position(), ConfigAt: c.configAt, Age: c.ageAt(now),
		IsReader: c.isReader && !c.storeFailed && c.everCurrent, StoreRejectedRecently: c.storeRejectsAt(now), Config: c.doc.rows.Head(),
	}
	if c.needsAllRecords {
		news.Base, news.At, news.Age = directory.Position{}, directory.Position{}, -1
	}
	if due, known := c.silence.LastOverdue(); known && c.silence.IsSuspect(c.currentAt) {
		news.AnswerOverdue = max(now-due, time.Millisecond)
	}
	if restore := c.mirror.Restore(); restore.Era > 0 {
		news.Restore, news.RestoreAge = restore, now-restore.SeenAt
	}
	peer := c.peers[address]
	if peer == nil || now-peer.statedAt >= statedTTL {
		// Nothing recent is known about the peer: it is sent the revisions
		// alone, states in its answer what it holds, and is sent the news that
		// it lacks.
		return news
	}
	held := peer.held(now)
	if !c.needsAllRecords {
		c.addRecords(&news, held.Records)
	}
	news.Amendments = c.amendmentsFor(address, now)
	news.Delta = c.doc.deltaFrom(held.Config, maxInlineDeltaBytes)
	if len(news.Records) > 0 || news.Delta != nil {
		peer.sent, peer.sentAt = held, now
		if !news.RecordsWithheld {
			peer.sent.Records = news.At
		}
		if news.Delta != nil {
			peer.sent.Config = news.Config.Version.Revision
		}
	}
	return news
}

// addRecords adds the records that changed after a position to news, or reports
// there that they are too many.
func (c *Controller) addRecords(news *News, after directory.Position) {
	records := c.mirror.Delta(after)
	if len(records) > maxInlineRecords {
		news.RecordsWithheld = true
		return
	}
	news.Base, news.Records = c.mirror.DeltaBase(after), c.encodeRecords(records)
}

// amendmentsFor returns the amendments that a peer was not sent recently.
func (c *Controller) amendmentsFor(address string, now time.Duration) []json.RawMessage {
	version := c.mirror.AmendmentChanges()
	if last, sent := c.sentAmendments[address]; sent && last.version == version && now-last.at < amendmentsTTL {
		return nil
	}
	amendments := c.mirror.Amendments(now)
	if len(amendments) == 0 {
		clear(c.sentAmendments)
		return nil
	}
	c.sentAmendments[address] = sentAmendments{version, now}
	return c.encodeRecords(amendments[:min(len(amendments), maxInlineRecords)])
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
	amendments, amendmentsErr := decodeRecords(news.Amendments)
	if err = cmp.Or(err, amendmentsErr); err != nil {
		c.cfg.Log.Warn("failed to decode news from a peer", "peer", address, "error", err)
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.cfg.Now()
	c.peers[address] = &peerState{stated: Holding{Records: news.At, Config: news.Config.Version.Revision}, statedAt: now}
	if news.AnswerOverdue > 0 {
		c.recordOverdue(now-news.AnswerOverdue, address)
	}
	previous := c.mirror.Position()
	c.recordRestore(now, news.Restore, news.RestoreAge)
	changed := c.applyRecordChanges(now, news.Base, news.At, records)
	if c.mirror.Position().Era == news.At.Era {
		changed = c.mirror.MergeFromPeer(now, amendments, directory.Position{}) || changed
	}
	if news.Delta != nil {
		changed = c.applyConfigDelta(now, address, *news.Delta) || changed
	}
	c.recordConfigAnnouncement(news.Config.Version.Revision, news.ConfigAt)
	c.logRestore(previous, address)
	if changed {
		c.viewPublished = true
		c.publish(now, address)
		c.cfg.Log.Info("news taken from a peer", "peer", address, "records", len(records), "amendments", len(amendments), "position", c.mirror.Position(), "before", previous)
	}
	if requestSentAt >= 0 && news.Age >= 0 && !news.At.After(c.mirror.Position()) && c.doc.version() >= news.Config.Version.Revision {
		c.confirmCurrent(requestSentAt - news.Age)
	}
	return requestSentAt >= 0 && previous.After(news.At)
}

// configAnnouncement is a version of the configuration that a peer holds, and the
// position up to which the peer knows all changes of the configuration.
type configAnnouncement struct {
	version uint64
	at      directory.Position
}

// recordConfigAnnouncement records which version of the configuration a peer
// holds.
func (c *Controller) recordConfigAnnouncement(version uint64, at directory.Position) {
	if version >= c.announcedConfig.version {
		c.announcedConfig = configAnnouncement{version, at}
	}
	c.confirmConfig()
}

// confirmConfig advances configAt if the announced configuration is held.
func (c *Controller) confirmConfig() {
	if c.doc.version() >= c.announcedConfig.version {
		c.configAt = laterOf(c.configAt, c.announcedConfig.at)
	}
}

// recordRestore records what a peer knows of a restore of the store, which a
// host first saw as long ago as age.
func (c *Controller) recordRestore(now time.Duration, restore mirror.Restore, age time.Duration) {
	restore.SeenAt = now - age
	c.mirror.RecordRestore(restore)
}

// applyRecordChanges applies the records that changed between two positions.
func (c *Controller) applyRecordChanges(now time.Duration, from, to directory.Position, records []directory.Record) bool {
	nowhere, held := directory.Position{}, c.mirror.Position()
	switch {
	case held != nowhere && to.Era > held.Era && to.Era < c.mirror.Restore().Era:
		// That era is over. The records of the current one are to come.
		return false
	case from == nowhere && to != nowhere:
		c.needsAllRecords = false
		return c.mirror.MergeSnapshot(now, records, to)
	case to.Era > held.Era && held != nowhere:
		// Changes that lead to another era were selected for exactly one
		// position: what else this host knows may be lost in the copy.
		if from != held {
			return false
		}
		if !c.mirror.CanEnter(records, to) {
			c.needsAllRecords = true
			return false
		}
		return c.mirror.MergeFromPeer(now, records, to)
	case !from.After(held) && from.Era == held.Era:
		return c.mirror.MergeFromPeer(now, records, to)
	}
	// The changes between the position held here and from are missing.
	return c.mirror.MergeFromPeer(now, records, nowhere)
}

// applyConfigDelta applies a small change of the configuration. A delta that
// does not apply to the version held here is ignored: the whole configuration
// is fetched because of the head that came with it.
func (c *Controller) applyConfigDelta(now time.Duration, address string, delta rollout.Delta) bool {
	cfg, gap, err := c.doc.applyDelta(delta)
	if err != nil {
		c.cfg.Log.Warn("failed to decode configuration from a peer", "peer", address, "error", err)
	}
	if gap {
		c.cfg.Log.Debug("configuration delta from a peer does not apply to the version held", "peer", address, "from", delta.From.Revision, "held", c.doc.version())
	}
	return c.updateMirrorConfig(now, cfg)
}

// updateMirrorConfig passes a new configuration to the mirror; nil means that
// it did not change.
func (c *Controller) updateMirrorConfig(now time.Duration, cfg *directory.Config) bool {
	if cfg == nil {
		return false
	}
	record := directory.Record{Key: directory.ConfigKey, Config: cfg}
	return c.mirror.ApplyChanges(now, []directory.Record{record}, directory.Position{})
}

// Held returns what this host holds.
func (c *Controller) Held() Holding {
	c.mu.Lock()
	defer c.mu.Unlock()
	held := Holding{Config: c.doc.version(), Records: c.mirror.Position()}
	if c.needsAllRecords {
		held.Records = directory.Position{}
	}
	return held
}

// DeltaBundle is what another process lacks, compressed once for all processes that
// lack the same. Parts that the process has are empty.
type DeltaBundle struct{ Config, Records []byte }

// Size returns the size in bytes.
func (b DeltaBundle) Size() int { return len(b.Config) + len(b.Records) }

// BuildBundle returns the changes from what another process holds to what is held
// here.
func (c *Controller) BuildBundle(held Holding) (b DeltaBundle, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.doc.version() > held.Config {
		if b.Config, err = c.doc.compressedSince(held.Config); err != nil {
			return DeltaBundle{}, err
		}
	}
	if c.mirror.Position().After(held.Records) {
		b.Records, err = c.compressRecords(held.Records)
	}
	return b, err
}

// compressedRecords are the compressed records that changed between two
// positions, at the given number of changes in the mirror.
type compressedRecords struct {
	from, to directory.Position
	changes  uint64
	bytes    []byte
}

// compressRecords compresses the changes from a position to the records held
// here.
func (c *Controller) compressRecords(after directory.Position) ([]byte, error) {
	from, to, changes := c.mirror.DeltaBase(after), c.mirror.Position(), c.mirror.Changes()
	if cached := c.compressedRecords; cached.from == from && cached.to == to && cached.changes == changes {
		return cached.bytes, nil
	}
	news := &filbertv1.PublishedNews{FromEra: from.Era, From: from.Revision, Era: to.Era, Revision: to.Revision}
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
	c.compressedRecords = compressedRecords{from, to, changes, compressed}
	return compressed, nil
}

// ApplyBundle applies what a peer sent in answer to a fetch. gap reports that the
// configuration does not apply to the version held here and has to be fetched
// whole.
func (c *Controller) ApplyBundle(address string, b DeltaBundle) (gap bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now, previous := c.cfg.Now(), c.mirror.Position()
	changed := false
	if len(b.Config) > 0 {
		var cfg *directory.Config
		if cfg, gap, err = c.doc.applyCompressed(b.Config); err != nil {
			return false, err
		}
		changed = c.updateMirrorConfig(now, cfg)
		c.confirmConfig()
	}
	if len(b.Records) > 0 {
		recordsChanged, err := c.applyCompressedRecords(now, b.Records)
		if err != nil {
			return gap, err
		}
		changed = recordsChanged || changed
	}
	c.logRestore(previous, address)
	if changed {
		c.viewPublished = true
		c.publish(now, address)
		c.cfg.Log.Info("fetched from a peer", "peer", address, "bytes", b.Size(),
			"config", c.doc.version(), "position", c.mirror.Position(), "before", previous)
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
	from := directory.Position{Era: news.GetFromEra(), Revision: news.GetFrom()}
	to := directory.Position{Era: news.GetEra(), Revision: news.GetRevision()}
	return c.applyRecordChanges(now, from, to, records), nil
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
