package membership

import "time"

// State is what is believed of a member.
type State int

// The states of a member, in the order in which one overrules the other at
// the same incarnation.
const (
	Alive State = iota
	Suspect
	Dead
	// Left members stopped by plan.
	Left
)

// String names the state.
func (s State) String() string {
	return [...]string{"alive", "suspect", "dead", "left"}[s]
}

// Member is what is known of one control process.
type Member struct {
	// Address (ip:port) names the member.
	Address string
	// Incarnation starts at the wall clock's milliseconds when the process
	// starts, so that a replaced process at the same address overrules what is
	// known of its predecessor. Should the clock have gone back, the process
	// hears of the higher incarnation and goes above it.
	Incarnation uint64
	State       State
	DataCentre  string
}

// maxIncarnation keeps an incarnation that makes no sense (a broken peer's)
// from being raised to where it wraps around.
const maxIncarnation = 1 << 62

// overrules tells whether m is newer knowledge than old of one member.
func (m Member) overrules(old Member) bool {
	if m.Incarnation != old.Incarnation {
		return m.Incarnation > old.Incarnation
	}
	return m.State > old.State
}

// Peer is a process that the published list names.
type Peer struct {
	Address    string
	DataCentre string
	// Leaving peers are still members, but take no new roles.
	Leaving bool
}

// Config holds a core's figures; the zero value of a field means its default.
type Config struct {
	Self Member
	// ProbeInterval is the time between two probes. One a second, sent and
	// received, costs about 1 KB/s with framing and names a dead process
	// within some six seconds.
	ProbeInterval time.Duration
	// ProbeTimeout bounds a probe, and the indirect probes after it. Links
	// take 1.5 ms one way; 500 ms leaves room for a busy host and a new TLS
	// connection.
	ProbeTimeout time.Duration
	// SuspectFor is how long a suspect may refute. It covers a probe of each
	// of the suspect's neighbours and grows with the logarithm of the fleet,
	// as the way of a refutation does.
	SuspectFor time.Duration
	// RingCount is the number of neighbours. With six, news gets through 3,300
	// members in at most six hops, and with a third of them gone at once it
	// still reaches all but one in the worst of 20 random draws (graph_test.go).
	RingCount int
	// MaxUpdates bounds the news of members in one message.
	MaxUpdates int
	// ForgetAfter is how long a dead member is remembered that the published
	// list does not name.
	ForgetAfter time.Duration
	// Seed seeds the random choices.
	Seed uint64
}

// DefaultProbeTimeout is Config.ProbeTimeout's default.
const DefaultProbeTimeout = 500 * time.Millisecond

// Defaults of Config.
const (
	defaultProbeEvery  = time.Second
	defaultSuspectFor  = 2 * time.Second
	defaultRings       = 6
	defaultMaxUpdates  = 12
	defaultForgetAfter = 5 * time.Minute
	// relays is the number of peers asked for an indirect probe, thirdRelays that
	// of them in data centres of neither side.
	relays, thirdRelays = 3, 2
	// resend times the logarithm of the fleet is how often news of a member is
	// passed on. With answers carrying news too, one round reaches three times
	// as many nodes; four times the logarithm leaves a wide margin.
	resend = 4
	// lostEvery: each so many probes one goes to a member that is believed
	// dead, so that the sides of a healed partition find each other.
	lostEvery = 4
	// pausedAfter is the gap between two ticks that shows that this process
	// itself was not running.
	pausedAfter = time.Second
	// pushEvery bounds how often urgent news is sent out of turn. When a data
	// centre dies, hundreds of members go within seconds; two messages a second
	// to each neighbour carry them in batches.
	pushEvery = 500 * time.Millisecond
	// syncEvery bounds how often whole member lists are exchanged.
	syncEvery = 10 * time.Second
	// A process that started within joinFor exchanges them up to once in
	// joinSyncEvery.
	joinFor, joinSyncEvery = 10 * time.Second, time.Second
)

func (c Config) withDefaults() Config {
	def := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	def(&c.ProbeInterval, defaultProbeEvery)
	def(&c.ProbeTimeout, DefaultProbeTimeout)
	def(&c.SuspectFor, defaultSuspectFor)
	def(&c.ForgetAfter, defaultForgetAfter)
	if c.RingCount == 0 {
		c.RingCount = defaultRings
	}
	if c.MaxUpdates == 0 {
		c.MaxUpdates = defaultMaxUpdates
	}
	return c
}

// ActionKind says what the network is asked to do.
type ActionKind int

// The kinds of actions.
const (
	// ActionProbe: send Updates to To, report Acked or Failed. Probe 0 only
	// carries news; its failure means nothing.
	ActionProbe ActionKind = iota + 1
	// ActionIndirectProbe: ask To to probe Target, report ViaReached when it did.
	ActionIndirectProbe
	// ActionSync: exchange whole member lists with To, hand the answer to
	// Sync on both sides.
	ActionSync
)

// Action is one thing for the network to do.
type Action struct {
	Kind    ActionKind
	ProbeID uint64
	To      string
	Target  string
	Updates []Member
	// Timeout bounds the action.
	Timeout time.Duration
}

// View is an immutable picture of the members.
type View struct {
	// Version rises with each change.
	Version uint64
	Self    Member
	// Members are all that were ever heard of and not forgotten, self
	// included, in the order of their addresses.
	Members []Member
	// Leaving holds the addresses that the published list takes away.
	Leaving map[string]bool
	// Neighbours are the members that this process talks to.
	Neighbours []string
}

// LiveAddresses gives the members that may take roles in a data centre: alive or only
// suspect, and not leaving. An empty name means all data centres.
func (v *View) LiveAddresses(dataCentre string) []string {
	var out []string
	for _, m := range v.Members {
		if m.State <= Suspect && !v.Leaving[m.Address] && (dataCentre == "" || m.DataCentre == dataCentre) {
			out = append(out, m.Address)
		}
	}
	return out
}
