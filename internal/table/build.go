package table

import (
	"strconv"
)

// builder assembles rows into a table and checks the rules that span rows:
// names and keys are unique, referenced services exist.
type builder struct {
	table         *Table
	positionByKey map[string]position
	// accountPositions holds the position of each account whose service
	// references are still to be checked, for reporting faults.
	accountPositions map[*Account]position
}

func newBuilder(revision uint64) *builder {
	return &builder{
		table: &Table{
			Revision: revision, Accounts: map[string]*Account{}, Services: map[string]*Service{},
			Drained: map[string]bool{}, AccountByKeyHash: map[[32]byte]*Account{},
		},
		positionByKey: map[string]position{}, accountPositions: map[*Account]position{},
	}
}

func (b *builder) add(r *rowReader) {
	kind := enumValue(r, colKind, RowKind(""), RowAccount, RowService, RowEpoch)
	if kind == "" {
		if r.cell(colKind) == "" {
			r.fault(colKind, "", "one of account, service, epoch")
		}
		return
	}
	r.rejectUnusedColumns(kind)
	switch kind {
	case RowAccount:
		b.addAccount(r, readAccount(r))
	case RowService:
		b.addService(r, readService(r))
	case RowEpoch:
		b.addEpoch(r)
	}
}

// claimKey registers the row's key. It records a fault and returns false if an
// earlier row has the same kind and name.
func (b *builder) claimKey(r *rowReader, key string) bool {
	if first, duplicate := b.positionByKey[key]; duplicate {
		r.fault(colName, r.cell(colName), "one row a name; the first is page "+strconv.Itoa(first.page)+" row "+strconv.Itoa(first.row))
		return false
	}
	b.positionByKey[key] = r.pos
	return true
}

func (b *builder) addAccount(r *rowReader, a *Account) {
	if !b.claimKey(r, AccountKey(a.Name)) {
		return
	}
	b.table.Accounts[a.Name] = a
	b.accountPositions[a] = r.pos
	for _, k := range a.KeyHashes {
		if other, exists := b.table.AccountByKeyHash[k]; exists {
			r.fault(colKeyHashes, "", "a key of one account only; account "+other.Name+" has it too")
			continue
		}
		b.table.AccountByKeyHash[k] = a
	}
}

func (b *builder) addService(r *rowReader, s *Service) {
	if b.claimKey(r, ServiceKey(s.Name)) {
		b.table.Services[s.Name] = s
	}
}

func (b *builder) addEpoch(r *rowReader) {
	text := r.cell(colName)
	epoch, err := strconv.ParseUint(text, 10, 64)
	if err != nil || epoch > maxEpoch {
		r.fault(colName, text, "a whole number from 0 to "+strconv.Itoa(maxEpoch))
		return
	}
	if b.claimKey(r, EpochKey) {
		b.table.Epoch = epoch
	}
}

// checkServiceReferences checks that the services named by accounts exist. It
// also sorts the faults.
func (b *builder) checkServiceReferences(faults *Faults) {
	for a, pos := range b.accountPositions {
		for _, s := range a.Services {
			if _, ok := b.table.Services[s]; !ok {
				faults.add(Fault{Page: pos.page, Row: pos.row, Column: colServices, Value: s, Allowed: "the name of a service row"})
			}
		}
	}
	faults.sort()
}

func readAccount(r *rowReader) *Account {
	return &Account{
		Name:            r.name(),
		Weight:          r.float(colWeight, 1, maxWeight, false),
		MaxRunning:      r.integer(colMaxRunning, 0, 0, maxRunningLimit),
		TokensPerSecond: r.float(colTokensPerSecond, 0, maxTokensPerSecond, true),
		Priority:        r.integer(colPriority, 0, -maxPriority, maxPriority),
		KeyHashes:       r.keyHashes(),
		Services:        r.stringList(colServices, maxServicesPerAccount),
	}
}

func readService(r *rowReader) *Service {
	s := &Service{
		Name:       r.name(),
		Type:       enumValue(r, colType, ServiceGeneration, ServiceGeneration, ServiceLookup, ServiceOnce),
		MaxWait:    r.milliseconds(colMaxWaitMS, defaultMaxWait, maxWaitLimit),
		QueueLimit: r.integer(colQueueLimit, defaultQueueLimit, 0, maxQueueLimit),
	}
	if s.Type == ServiceGeneration {
		s.Delivery = enumValue(r, colDelivery, DeliveryStream, DeliveryStream, DeliveryBuffered)
		s.MaxTokens = r.integer(colMaxTokens, defaultMaxTokens, 1, maxTokensLimit)
		return s
	}
	for _, c := range []string{colDelivery, colMaxTokens} {
		if v := r.cell(c); v != "" {
			r.fault(c, v, "empty for a service of type "+string(s.Type))
		}
	}
	return s
}
