// Package entry builds the program filbert-entry: the HTTP API for callers, the
// admission client, the relays to targets, and usage accounting. All its state
// is in memory; an entry stores nothing durably.
package entry

import (
	"filbertdeck/internal/settings"
)

// Settings holds the settings of filbert-entry.
type Settings struct {
	settings.Common
	Listen      string   `arg:"--listen,env:FILBERT_ENTRY_LISTEN" check:"hostport" default:"127.0.0.1:8080" help:"address for callers"`
	PeerListen  string   `arg:"--peer-listen,env:FILBERT_ENTRY_PEER_LISTEN" check:"hostport" default:"127.0.0.1:8081" help:"address for the other entries; the host's entry in the published list"`
	AdminListen string   `arg:"--admin-listen,env:FILBERT_ENTRY_ADMIN_LISTEN" check:"hostport" default:"127.0.0.1:8082" help:"address of counters, accounting and health"`
	Control     []string `arg:"--control,separate,env:FILBERT_ENTRY_CONTROL" check:"hostport" help:"control process of this data centre, the local one first; repeat the flag for each (default 127.0.0.1:8090)"`
	KeyRing     string   `arg:"--key-ring,env:FILBERT_ENTRY_KEY_RING" check:"file?" help:"file with the keys of resume handles and minted idempotency keys, one id:base64 a line, the sealing key first; without it only this process opens its handles"`
	BodyLimit   int64    `arg:"--body-limit,env:FILBERT_ENTRY_BODY_LIMIT" check:"1024..67108864" default:"1048576" help:"largest body of a request, in bytes"`
}

// Program is the name of the executable and About the description in its help
// text.
const (
	Program = "filbert-entry"
	About   = `filbert-entry takes callers' requests on an entry host and relays them to targets.
It asks a control process (filbert-control) for admission and keeps nothing.

Example: filbert-entry --plain-text --listen 127.0.0.1:8080 --control 127.0.0.1:8090`
)

const defaultControlAddress = "127.0.0.1:8090"
