package configservice

import (
	"encoding/json"
	"net/netip"
	"strings"
	"unicode"
	"unicode/utf8"

	"filbertdeck/internal/failure"
)

// The keys of the documents in the configuration service.
const (
	KeyTablePrefix = "table/"
	KeyDrain       = "drain"
	KeyHosts       = "hosts"
	KeyTargets     = "targets"
)

// State is the lifecycle state that the platform publishes for a host or
// target.
type State string

// The states of hosts and targets. A leaving one is being removed by the
// platform.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// Host is one entry host in the published list.
type Host struct {
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	// Entry and Control are the addresses (ip:port) of the host's entry process
	// and control process.
	Entry   string `json:"entry"`
	Control string `json:"control"`
	State   State  `json:"state"`
}

// Target is one target in the published list.
type Target struct {
	Service    string `json:"service"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	State      State  `json:"state"`
}

// DroppedEntries is the number of entries of a document that were skipped because they
// are invalid (for example a malformed address), duplicates or above the limit.
type DroppedEntries int

// Limits on the entries of a list and on the bytes of a name.
const (
	maxEntries   = 50_000
	maxNameBytes = 128
)

// ParseHosts parses the list of hosts. Invalid entries are skipped and counted:
// rejecting the whole list because of one would keep leaving hosts in use. A
// list without any valid host is rejected, because it would remove every owner.
func ParseHosts(text string) ([]Host, DroppedEntries, error) {
	var doc struct {
		Hosts []Host `json:"hosts"`
	}
	if err := unmarshal(text, "host list", &doc); err != nil {
		return nil, 0, err
	}
	hosts, dropped := filterEntries(doc.Hosts, func(h Host) (string, bool) {
		return h.Key(), validName(h.Name) && validName(h.DataCentre) && validAddress(h.Entry) && validAddress(h.Control) && validState(h.State)
	})
	if len(hosts) == 0 {
		return nil, dropped, failure.New(failure.KindConfigUnreadable, "host list contains no valid host")
	}
	return hosts, dropped, nil
}

// ParseTargets parses the list of targets in the same way as ParseHosts, except
// that an empty list is valid.
func ParseTargets(text string) ([]Target, DroppedEntries, error) {
	var doc struct {
		Targets []Target `json:"targets"`
	}
	if err := unmarshal(text, "target list", &doc); err != nil {
		return nil, 0, err
	}
	targets, dropped := filterEntries(doc.Targets, func(t Target) (string, bool) {
		return t.Key(), validName(t.Service) && validName(t.DataCentre) && validAddress(t.Address) && validState(t.State)
	})
	return targets, dropped, nil
}

// ParseDrainList parses the list of drained data centres, one per line.
func ParseDrainList(text string) []string {
	var names []string
	for line := range strings.Lines(strings.TrimPrefix(text, "\ufeff")) {
		if name := strings.TrimSpace(line); name != "" {
			names = append(names, name)
		}
	}
	return names
}

func unmarshal(text, document string, dest any) error {
	if err := json.Unmarshal([]byte(text), dest); err != nil {
		return failure.Wrap(err, failure.KindConfigUnreadable, "%s is not valid JSON", document)
	}
	return nil
}

// filterEntries returns the valid entries without duplicate keys; the first
// entry of a key is retained.
func filterEntries[T any](entries []T, key func(T) (string, bool)) ([]T, DroppedEntries) {
	kept := make([]T, 0, min(len(entries), maxEntries))
	seen := make(map[string]bool, len(entries))
	for _, e := range entries {
		k, ok := key(e)
		if !ok || seen[k] || len(kept) == maxEntries {
			continue
		}
		seen[k] = true
		kept = append(kept, e)
	}
	return kept, DroppedEntries(len(entries) - len(kept))
}

func validAddress(address string) bool {
	_, err := netip.ParseAddrPort(address)
	return err == nil
}

// validName reports whether a name can be a field of a row: not empty,
// printable and at most maxNameBytes long.
func validName(name string) bool {
	return name != "" && len(name) <= maxNameBytes && !strings.ContainsFunc(name, unprintable)
}

func unprintable(r rune) bool { return r == utf8.RuneError || !unicode.IsPrint(r) }

func validState(s State) bool { return s == StateLive || s == StateLeaving }

// rowFieldSeparator separates the fields of a row; names do not contain tabs.
const rowFieldSeparator = "\t"

// Key returns the identifier of the host across revisions.
func (h Host) Key() string { return h.Control }

// Row encodes the host as one line, which HostFromRow parses.
func (h Host) Row() string {
	return strings.Join([]string{h.Name, h.DataCentre, h.Entry, h.Control, string(h.State)}, rowFieldSeparator)
}

// ParseHostRow parses a host's row. It returns false if the row is malformed.
func ParseHostRow(row string) (Host, bool) {
	f := strings.Split(row, rowFieldSeparator)
	if len(f) != 5 {
		return Host{}, false
	}
	return Host{Name: f[0], DataCentre: f[1], Entry: f[2], Control: f[3], State: State(f[4])}, true
}

// Key returns the identifier of the target across revisions.
func (t Target) Key() string { return t.Service + rowFieldSeparator + t.Address }

// Row encodes the target as one line, which TargetFromRow parses.
func (t Target) Row() string {
	return strings.Join([]string{t.Service, t.Address, t.DataCentre, string(t.State)}, rowFieldSeparator)
}

// ParseTargetRow parses a target's row. It returns false if the row is
// malformed.
func ParseTargetRow(row string) (Target, bool) {
	f := strings.Split(row, rowFieldSeparator)
	if len(f) != 4 {
		return Target{}, false
	}
	return Target{Service: f[0], Address: f[1], DataCentre: f[2], State: State(f[3])}, true
}
