package membership

import "time"

// State is the believed state of a member.
type State int

// The states of a member. At the same incarnation a later one supersedes an
// earlier one.
const (
	Alive State = iota
	Suspect
	Dead
	// Left is the state of a member that stopped by plan.
	Left
)

// String returns the name of the state.
func (s State) String() string {
	return [...]string{"alive", "suspect", "dead", "left"}[s]
}

// Member is the known state of one control process.
type Member struct {
	// Address (ip:port) identifies the member.
	Address string
	// Incarnation starts at the wall clock's milliseconds when the process
	// starts, so that a process that replaces another at the same address
	// supersedes it. If the clock was set back, the process learns the higher
	// incarnation from its peers and raises its own above it.
	Incarnation uint64
	State       State
	DataCentre  string
}

// maxIncarnation keeps the implausible incarnation of a broken peer from being
// raised until it wraps around.
const maxIncarnation = 1 << 62

// supersedes reports whether m is newer than old, another state of the same
// member.
func (m Member) supersedes(old Member) bool {
	if m.Incarnation != old.Incarnation {
		return m.Incarnation > old.Incarnation
	}
	return m.State > old.State
}

// Peer is a process named by the published list.
type Peer struct {
	Address    string
	DataCentre string
	// Leaving is set for a peer that is still a member but takes no new roles.
	Leaving bool
}

// Config holds the settings of the protocol; a field that is zero takes its
// default.
type Config struct {
	Self Member
	// ProbeInterval is the time between two probes. One a second, sent and
	// received, costs about 1 KB/s with framing and detects a dead process
	// within some six seconds.
	ProbeInterval time.Duration
	// ProbeTimeout bounds a probe, and the indirect probes after it. Links take
	// 1.5 ms one way; 500 ms leaves room for a busy host and a new TLS
	// connection.
	ProbeTimeout time.Duration
	// SuspicionTimeout is the time in which a suspect may refute. It covers a
	// probe by each of the suspect's neighbours and is multiplied by the
	// logarithm of the fleet size, since the path of a refutation grows with
	// it.
	SuspicionTimeout time.Duration
	// RingCount is the number of hash rings, and so of neighbours. With six, an
	// update reaches 3,300 members in at most six hops, and if a third of
	// them fail at once it still reaches all but one in the worst of 20 random
	// draws (graph_test.go).
	RingCount int
	// MaxUpdates bounds the member updates in one message.
	MaxUpdates int
	// DeadRetention is how long a dead member that the published list does not
	// name is remembered.
	DeadRetention time.Duration
	// Seed seeds the random choices.
	Seed uint64
}

// DefaultProbeTimeout is the default of Config.ProbeTimeout.
const DefaultProbeTimeout = 500 * time.Millisecond

// Defaults of Config, and fixed limits of the protocol.
const (
	defaultProbeInterval    = time.Second
	defaultSuspicionTimeout = 2 * time.Second
	defaultRings            = 6
	defaultMaxUpdates       = 12
	defaultDeadRetention    = 5 * time.Minute
	// relayCount is the number of peers asked for an indirect probe. The first
	// thirdPartyRelayCount of them are chosen from data centres of neither
	// side, if there are any.
	relayCount, thirdPartyRelayCount = 3, 2
	// transmitMultiplier times the logarithm of the fleet size is how often a
	// member's update is sent. With answers carrying updates too, one round
	// reaches three times as many nodes; four times the logarithm leaves a wide
	// margin.
	transmitMultiplier = 4
	// One in deadProbeCycle probes goes to a member that is believed dead, so
	// that the sides of a healed partition find each other.
	deadProbeCycle = 4
	// pauseThreshold is the gap between two ticks from which this process is
	// taken to have been paused.
	pauseThreshold = time.Second
	// minPushInterval bounds how often urgent updates are sent between probes.
	// When a data centre fails, hundreds of members fail within seconds; two
	// messages a second to each neighbour carry them in batches.
	minPushInterval = 500 * time.Millisecond
	// minSyncInterval bounds how often full member lists are exchanged.
	minSyncInterval = 10 * time.Second
	// During joinPeriod after its start, a process exchanges them up to once in
	// minJoinSyncInterval.
	joinPeriod, minJoinSyncInterval = 10 * time.Second, time.Second
)

func (c Config) withDefaults() Config {
	setDefault := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	setDefault(&c.ProbeInterval, defaultProbeInterval)
	setDefault(&c.ProbeTimeout, DefaultProbeTimeout)
	setDefault(&c.SuspicionTimeout, defaultSuspicionTimeout)
	setDefault(&c.DeadRetention, defaultDeadRetention)
	if c.RingCount == 0 {
		c.RingCount = defaultRings
	}
	if c.MaxUpdates == 0 {
		c.MaxUpdates = defaultMaxUpdates
	}
	return c
}

// ActionKind is the kind of an action.
type ActionKind int

// The kinds of actions.
const (
	// ActionProbe sends Updates to To, which answers with its own. The caller
	// reports the answer or the failure back. The probe with the number 0 only
	// carries updates; its failure is ignored.
	ActionProbe ActionKind = iota + 1
	// ActionIndirectProbe asks To to probe Target. The caller reports back if Target
	// was reached.
	ActionIndirectProbe
	// ActionSync exchanges full member lists with To; both sides apply what
	// they receive.
	ActionSync
)

// Action is an operation that the caller is to perform on the network.
type Action struct {
	Kind    ActionKind
	ProbeID uint64
	To      string
	Target  string
	Updates []Member
	// Timeout bounds the action.
	Timeout time.Duration
}

// View is an immutable snapshot of the member list.
type View struct {
	// Version increases with each change.
	Version uint64
	Self    Member
	// Members holds this process and all confirmed members that have not been
	// removed, ordered by address.
	Members []Member
	// Leaving holds the addresses that the published list marks as leaving.
	Leaving map[string]bool
	// Neighbours holds the addresses of the members that this process probes.
	Neighbours []string
}

// EligibleAddresses returns the members that may take roles in a data centre: those that are
// alive or suspect and not leaving. An empty name selects all data centres.
func (v *View) EligibleAddresses(dataCentre string) []string {
	var out []string
	for _, m := range v.Members {
		if m.State <= Suspect && !v.Leaving[m.Address] && (dataCentre == "" || m.DataCentre == dataCentre) {
			out = append(out, m.Address)
		}
	}
	return out
}
