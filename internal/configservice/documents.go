package configservice

import (
	"encoding/json"
	"net/netip"
	"strings"
	"unicode"
	"unicode/utf8"

	"filbertdeck/internal/failure"
)

// The keys of the documents.
const (
	KeyTablePrefix = "table/"
	KeyDrain       = "drain"
	KeyHosts       = "hosts"
	KeyTargets     = "targets"
)

// State says whether the platform keeps a host or target or takes it away.
type State string

// The states of hosts and targets.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// Host is one entry host of the published list.
type Host struct {
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	// Entry and Control are the addresses (ip:port) of its two processes.
	Entry   string `json:"entry"`
	Control string `json:"control"`
	State   State  `json:"state"`
}

// Target is one back end of the published list.
type Target struct {
	Service    string `json:"service"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	State      State  `json:"state"`
}

// DroppedEntries counts the entries of a document that can't be used, such as an
// address that is none.
type DroppedEntries int

// Bounds of a list and of a name in it.
const (
	maxEntries = 50_000
	maxName    = 128
)

// ParseHosts reads the list of hosts. Entries that can't be used are left out
// and counted: refusing the list for one of them would keep leaving hosts in
// use. A list without any host is refused: it would take every owner away.
func ParseHosts(text string) ([]Host, DroppedEntries, error) {
	var doc struct {
		Hosts []Host `json:"hosts"`
	}
	if err := parse(text, "host list", &doc); err != nil {
		return nil, 0, err
	}
	hosts, dropped := keep(doc.Hosts, func(h Host) (string, bool) {
		return h.Key(), plain(h.Name) && plain(h.DataCentre) && valid(h.Entry) && valid(h.Control) && known(h.State)
	})
	if len(hosts) == 0 {
		return nil, dropped, failure.New(failure.KindConfigUnreadable, "host list without a usable host")
	}
	return hosts, dropped, nil
}

// ParseTargets reads the list of targets; like ParseHosts, but an empty list
// is one.
func ParseTargets(text string) ([]Target, DroppedEntries, error) {
	var doc struct {
		Targets []Target `json:"targets"`
	}
	if err := parse(text, "target list", &doc); err != nil {
		return nil, 0, err
	}
	targets, dropped := keep(doc.Targets, func(t Target) (string, bool) {
		return t.Key(), plain(t.Service) && plain(t.DataCentre) && valid(t.Address) && known(t.State)
	})
	return targets, dropped, nil
}

// ParseDrainList reads the data centres taken out, one a line.
func ParseDrainList(text string) []string {
	var names []string
	for line := range strings.Lines(strings.TrimPrefix(text, "\ufeff")) {
		if name := strings.TrimSpace(line); name != "" {
			names = append(names, name)
		}
	}
	return names
}

func parse(text, what string, into any) error {
	if err := json.Unmarshal([]byte(text), into); err != nil {
		return failure.Wrap(err, failure.KindConfigUnreadable, "%s is no JSON", what)
	}
	return nil
}

// keep returns the usable entries, each key once; the first stands.
func keep[T any](all []T, key func(T) (string, bool)) ([]T, DroppedEntries) {
	kept := make([]T, 0, min(len(all), maxEntries))
	seen := make(map[string]bool, len(all))
	for _, e := range all {
		k, ok := key(e)
		if !ok || seen[k] || len(kept) == maxEntries {
			continue
		}
		seen[k] = true
		kept = append(kept, e)
	}
	return kept, DroppedEntries(len(all) - len(kept))
}

func valid(address string) bool {
	_, err := netip.ParseAddrPort(address)
	return err == nil
}

// plain tells whether a name can stand in a row: printable and not empty.
func plain(name string) bool {
	return name != "" && len(name) <= maxName && !strings.ContainsFunc(name, unprintable)
}

func unprintable(r rune) bool { return r == utf8.RuneError || !unicode.IsPrint(r) }

func known(s State) bool { return s == StateLive || s == StateLeaving }

// rowSeparator stands between the fields of a row; names hold no tab.
const rowSeparator = "\t"

// Key gives what names the host across revisions.
func (h Host) Key() string { return h.Control }

// Row gives the host as one line, which HostFromRow reads back.
func (h Host) Row() string {
	return strings.Join([]string{h.Name, h.DataCentre, h.Entry, h.Control, string(h.State)}, rowSeparator)
}

// ParseHostRow reads a host's row; false when it is none.
func ParseHostRow(row string) (Host, bool) {
	f := strings.Split(row, rowSeparator)
	if len(f) != 5 {
		return Host{}, false
	}
	return Host{Name: f[0], DataCentre: f[1], Entry: f[2], Control: f[3], State: State(f[4])}, true
}

// Key gives what names the target across revisions.
func (t Target) Key() string { return t.Service + rowSeparator + t.Address }

// Row gives the target as one line, which TargetFromRow reads back.
func (t Target) Row() string {
	return strings.Join([]string{t.Service, t.Address, t.DataCentre, string(t.State)}, rowSeparator)
}

// ParseTargetRow reads a target's row; false when it is none.
func ParseTargetRow(row string) (Target, bool) {
	f := strings.Split(row, rowSeparator)
	if len(f) != 4 {
		return Target{}, false
	}
	return Target{Service: f[0], Address: f[1], DataCentre: f[2], State: State(f[3])}, true
}
