// Package control builds the program filbert-control: configuration watch,
// membership, target polling, admission and administration. Its state is kept
// in memory only; a process that replaces another one rebuilds it within
// seconds.
package control

import "filbertdeck/internal/settings"

// Settings holds the settings of filbert-control.
type Settings struct {
	settings.Common
	Listen         string   `arg:"--listen,env:FILBERT_CONTROL_LISTEN" check:"hostport" default:"127.0.0.1:8090" help:"address for entries and other control processes; the host's control in the published list"`
	AdminListen    string   `arg:"--admin-listen,env:FILBERT_CONTROL_ADMIN_LISTEN" check:"hostport" default:"127.0.0.1:8091" help:"address of the administration interface, counters and health"`
	Platform       string   `arg:"--platform,env:FILBERT_CONTROL_PLATFORM" check:"hostport" default:"127.0.0.1:7000" help:"address of the platform's configuration service"`
	OperatorKeys   []string `arg:"--operator-key-sha256,separate,env:FILBERT_CONTROL_OPERATOR_KEYS" check:"text" help:"SHA-256 digests (hex) of the operators' keys to the administration interface"`
	MonitorKeys    []string `arg:"--monitor-key-sha256,separate,env:FILBERT_CONTROL_MONITOR_KEYS" check:"text" help:"SHA-256 digests (hex) of the monitor's keys to the administration interface"`
	MemoryLimitMiB int64    `arg:"--memory-limit,env:FILBERT_CONTROL_MEMORY_LIMIT" check:"0..65536" default:"0" help:"memory in MiB that the garbage collector keeps the process below if it can; 0 means none"`
}

// Program and About are the program's name and the introduction of its help.
const (
	Program = "filbert-control"
	About   = `filbert-control admits requests to targets on behalf of the entries of its data centre.
It watches the platform's configuration service, which it never writes, and keeps nothing.

Example: filbert-control --plain-text --listen 127.0.0.1:8090 --platform 127.0.0.1:7000`
)
