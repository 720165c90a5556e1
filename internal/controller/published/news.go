package published

import (
	"encoding/json"
	"time"

	"filbertdeck/internal/decide/rollout"
	"filbertdeck/internal/directory"
	"filbertdeck/internal/failure"
)

const (
	// shortDelta is the size in bytes up to which a change of the configuration
	// goes along with other news: an edit of some routes, or keys taken back.
	// What is longer is announced, and fetched by each host once.
	shortDelta = 8 << 10
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
	// Records changed after the revision From, up to Revision. The
	// configuration is not among them.
	From, Revision uint64
	// Age is how long before the telling it was known that nothing newer was
	// published; negative when it never was.
	Age time.Duration
	// Reading says that the process reads the store, and the store answers.
	Reading bool
	Records []json.RawMessage
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
	n := News{From: c.mirror.Revision(), Revision: c.mirror.Revision(), Age: -1, Reading: c.reading && !c.lost && c.confirmed, Config: c.doc.rows.Head()}
	if c.confirmed {
		n.Age = now - c.currentAt
	}
	p := c.peers[address]
	if p == nil || now-p.statedAt >= statedFor {
		// Nothing is known of the peer by now: it is told the revisions alone, says
		// in its answer what it holds, and is told more if it lacks any.
		return n
	}
	lacks := p.holds(now)
	n.From = lacks.records
	n.Records = c.encode(c.mirror.Since(lacks.records))
	n.Delta = c.doc.deltaFrom(lacks.config, shortDelta)
	if len(n.Records) > 0 || n.Delta != nil {
		p.told, p.toldAt = held{records: n.Revision, config: lacks.config}, now
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

// TakeNews takes what a peer told. asked is when the question was asked that
// the news answer, on the steady clock, negative when they came unasked: then
// their age proves nothing, they may have lain in a paused process. behind
// tells that the peer still holds less than is held here after it was told.
func (c *Controller) TakeNews(address string, n News, asked time.Duration) (behind bool) {
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
	before := c.mirror.Revision()
	at := uint64(0)
	if n.From <= before {
		at = n.Revision
	}
	changed := c.mirror.Changes(now, records, at)
	if n.Delta != nil {
		changed = c.takeDelta(now, address, *n.Delta) || changed
	}
	if changed {
		c.known = true
		c.publish(now)
		c.cfg.Log.Info("news taken from a peer", "peer", address, "records", len(records), "revision", c.mirror.Revision(), "before", before)
	}
	if asked >= 0 && n.Age >= 0 && c.mirror.Revision() >= n.Revision && c.doc.revision() >= n.Config.Version.Revision {
		c.confirm(asked - n.Age)
	}
	return asked >= 0 && n.Revision < before
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
	return c.mirror.Changes(now, []directory.Record{record}, 0)
}

// ConfigRevision is the store's revision at the configuration in force, 0 for
// none.
func (c *Controller) ConfigRevision() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.doc.revision()
}

// PackConfig gives what leads from a revision of the configuration to the one
// in force, compressed, and the revision in force; nothing when that is not
// newer.
func (c *Controller) PackConfig(from uint64) (packed []byte, revision uint64, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.doc.revision() <= from {
		return nil, c.doc.revision(), nil
	}
	packed, err = c.doc.pack(from)
	return packed, c.doc.revision(), err
}

// TakeConfig takes what a peer's PackConfig gave. gap tells that it doesn't fit
// to what is held here and the whole has to be fetched.
func (c *Controller) TakeConfig(address string, packed []byte) (gap bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.doc.revision()
	cfg, gap, err := c.doc.takePacked(packed)
	if err != nil {
		return false, err
	}
	now := c.cfg.Now()
	if c.putConfig(now, cfg) {
		c.known = true
		c.publish(now)
		c.cfg.Log.Info("configuration fetched from a peer", "peer", address, "bytes", len(packed), "revision", c.doc.revision(), "before", before)
	}
	return gap, nil
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
}

// Age is how long ago it was known that nothing newer had been published than
// is believed here; false when it never was.
func (c *Controller) Age() (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cfg.Now() - c.currentAt, c.confirmed
}

// Asks tells whether this host needs others to tell it what is published: it
// does not read the store, or the store does not answer it.
func (c *Controller) Asks() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lost || !c.reading
}
