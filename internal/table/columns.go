package table

import "time"

// The columns of the table, in the order of its canonical form.
const (
	colKind       = "kind"
	colName       = "name"
	colWeight     = "weight"
	colMaxRunning = "max_running"
	colTokens     = "tokens_per_second"
	colPriority   = "priority"
	colKeys       = "key_sha256"
	colServices   = "services"
	colType       = "type"
	colDelivery   = "delivery"
	colMaxTokens  = "max_tokens"
	colMaxWait    = "max_wait_ms"
	colQueueLimit = "queue_limit"
)

// columns is the canonical header.
var columns = []string{
	colKind, colName, colWeight, colMaxRunning, colTokens, colPriority, colKeys, colServices,
	colType, colDelivery, colMaxTokens, colMaxWait, colQueueLimit,
}

// canonicalIndex gives each column's place in the canonical header.
var canonicalIndex = indexOf(columns)

// Columns gives the table's columns in canonical order.
func Columns() []string { return append([]string(nil), columns...) }

// used says which columns a kind of row fills; the others must be empty. A
// limit typed into a column that is not read would be a limit that nobody
// keeps, and nobody would notice.
var used = map[RowKind]map[string]bool{
	RowAccount: set(colKind, colName, colWeight, colMaxRunning, colTokens, colPriority, colKeys, colServices),
	RowService: set(colKind, colName, colType, colDelivery, colMaxTokens, colMaxWait, colQueueLimit),
	RowEpoch:   set(colKind, colName),
}

func set(names ...string) map[string]bool {
	m := make(map[string]bool, len(names))
	for _, n := range names {
		m[n] = true
	}
	return m
}

// Bounds of the table's values. The upper ones are far above any use; they
// stop a slip of the keyboard and keep sums within range.
const (
	maxName          = 64
	maxWeight        = 1e6
	maxRunningBound  = 1_000_000
	maxTokenRate     = 1e9
	maxPriority      = 100
	maxKeys          = 16
	maxServices      = 64
	maxTokensBound   = 10_000_000
	maxWaitBound     = 10 * time.Minute
	queueLimitBound  = 100_000
	maxRows          = 50_000
	maxPages         = 64
	maxEpoch         = 1 << 32
	listSeparator    = ";"
	defaultMaxTokens = 4096
	defaultMaxWait   = 30 * time.Second
	defaultQueue     = 256
)

// MaxPageBytes is the size of the largest page, in bytes: the configuration
// service's bound on a value.
const MaxPageBytes = 1 << 20
