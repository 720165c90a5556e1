package published

import (
	"encoding/json"
	"time"

	"filbertdeck/internal/directory"
	"filbertdeck/internal/failure"
)

// News is what one process tells another of what is published.
type News struct {
	// Records changed after the revision From, up to Revision.
	From, Revision uint64
	// Age is how long before the telling it was known that nothing newer was
	// published; negative when it never was.
	Age time.Duration
	// Reading says that the process reads the store, and the store answers.
	Reading bool
	Records []json.RawMessage
}

// NewsFor gives what a peer lacks, as far as it has said what it holds.
func (c *Controller) NewsFor(peer string) News {
	c.mu.Lock()
	defer c.mu.Unlock()
	from, stated := c.peers[peer]
	if !stated {
		// Nothing is known of the peer: it is told the revision alone, and says
		// in its answer what it holds.
		from = c.mirror.Revision()
	}
	n := News{From: from, Revision: c.mirror.Revision(), Age: -1, Reading: c.reading && !c.lost && c.confirmed}
	if c.confirmed {
		n.Age = c.cfg.Now() - c.currentAt
	}
	for _, r := range c.mirror.Since(from) {
		body, err := json.Marshal(r)
		if err != nil {
			c.cfg.Log.Error("record can't be told to a peer", "key", r.Key, "error", err)
			continue
		}
		n.Records = append(n.Records, body)
	}
	return n
}

// TakeNews takes what a peer told. asked is when the question was asked that
// the news answer, on the steady clock, negative when they came unasked: then
// their age proves nothing, they may have lain in a paused process. behind
// tells that the peer holds less than is held here.
func (c *Controller) TakeNews(peer string, n News, asked time.Duration) (behind bool) {
	records, err := parse(n.Records)
	if err != nil {
		c.cfg.Log.Warn("news of a peer can't be read", "peer", peer, "error", err)
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peers[peer] = n.Revision
	before := c.mirror.Revision()
	at := uint64(0)
	if n.From <= before {
		at = n.Revision
	}
	now := c.cfg.Now()
	if c.mirror.Changes(now, records, at) {
		c.known = true
		c.publish(now)
		c.cfg.Log.Info("news taken from a peer", "peer", peer, "records", len(records), "revision", c.mirror.Revision(), "before", before)
	}
	if asked >= 0 && n.Age >= 0 && c.mirror.Revision() >= n.Revision {
		c.confirm(asked - n.Age)
	}
	return n.Revision < before
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
