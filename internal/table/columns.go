package table

import "time"

// The columns of the table, in the order of its canonical form.
const (
	colKind            = "kind"
	colName            = "name"
	colWeight          = "weight"
	colMaxRunning      = "max_running"
	colTokensPerSecond = "tokens_per_second"
	colPriority        = "priority"
	colKeyHashes       = "key_sha256"
	colServices        = "services"
	colType            = "type"
	colDelivery        = "delivery"
	colMaxTokens       = "max_tokens"
	colMaxWaitMS       = "max_wait_ms"
	colQueueLimit      = "queue_limit"
)

// columns is the canonical header.
var columns = []string{
	colKind, colName, colWeight, colMaxRunning, colTokensPerSecond, colPriority, colKeyHashes, colServices,
	colType, colDelivery, colMaxTokens, colMaxWaitMS, colQueueLimit,
}

// canonicalIndexes maps each column to its position in the canonical header.
var canonicalIndexes = columnIndexes(columns)

// Columns returns the columns of the table in canonical order.
func Columns() []string { return append([]string(nil), columns...) }

// columnsByKind holds the columns that each kind of row uses; the others must
// be empty. Otherwise a limit entered in an unused column would silently have
// no effect.
var columnsByKind = map[RowKind]map[string]bool{
	RowAccount: newSet(colKind, colName, colWeight, colMaxRunning, colTokensPerSecond, colPriority, colKeyHashes, colServices),
	RowService: newSet(colKind, colName, colType, colDelivery, colMaxTokens, colMaxWaitMS, colQueueLimit),
	RowEpoch:   newSet(colKind, colName),
}

func newSet(names ...string) map[string]bool {
	m := make(map[string]bool, len(names))
	for _, n := range names {
		m[n] = true
	}
	return m
}

// Bounds and defaults of the table's values. The upper bounds are far above any
// real use; they catch typing errors and prevent overflow of sums.
const (
	maxNameBytes          = 64
	maxWeight             = 1e6
	maxRunningLimit       = 1_000_000
	maxTokensPerSecond    = 1e9
	maxPriority           = 100
	maxKeysPerAccount     = 16
	maxServicesPerAccount = 64
	maxTokensLimit        = 10_000_000
	maxWaitLimit          = 10 * time.Minute
	maxQueueLimit         = 100_000
	maxRows               = 50_000
	maxPages              = 64
	maxEpoch              = 1 << 32
	listSeparator         = ";"
	defaultMaxTokens      = 4096
	defaultMaxWait        = 30 * time.Second
	defaultQueueLimit     = 256
)

// MaxPageBytes is the maximum size of a page in bytes: the limit of the
// configuration service for one value.
const MaxPageBytes = 1 << 20
