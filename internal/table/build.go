package table

import (
	"strconv"
)

// builder puts rows together into a table and checks what one row alone can't
// show: names and keys that stand twice, services that don't exist.
type builder struct {
	table *Table
	seen  map[string]place
	// places remembers where an account stands, for faults found at the end.
	places map[*Account]place
}

func newBuilder(revision uint64) *builder {
	return &builder{
		table: &Table{
			Revision: revision, Accounts: map[string]*Account{}, Services: map[string]*Service{},
			Drained: map[string]bool{}, AccountByKeyHash: map[[32]byte]*Account{},
		},
		seen: map[string]place{}, places: map[*Account]place{},
	}
}

func (b *builder) add(r *rowReader) {
	kind := choice(r, colKind, RowKind(""), RowAccount, RowService, RowEpoch)
	if kind == "" {
		if r.cell(colKind) == "" {
			r.fault(colKind, "", "one of account, service, epoch")
		}
		return
	}
	r.onlyUsed(kind)
	switch kind {
	case RowAccount:
		b.addAccount(r, readAccount(r))
	case RowService:
		b.addService(r, readService(r))
	case RowEpoch:
		b.addEpoch(r)
	}
}

// once notes a second row of one kind and name.
func (b *builder) once(r *rowReader, key string) bool {
	if at, twice := b.seen[key]; twice {
		r.fault(colName, r.cell(colName), "one row a name; the first is page "+strconv.Itoa(at.page)+" row "+strconv.Itoa(at.row))
		return false
	}
	b.seen[key] = r.at
	return true
}

func (b *builder) addAccount(r *rowReader, a *Account) {
	if !b.once(r, AccountKey(a.Name)) {
		return
	}
	b.table.Accounts[a.Name] = a
	b.places[a] = r.at
	for _, k := range a.KeyHashes {
		if other, taken := b.table.AccountByKeyHash[k]; taken {
			r.fault(colKeys, "", "a key of one account only; account "+other.Name+" has it too")
			continue
		}
		b.table.AccountByKeyHash[k] = a
	}
}

func (b *builder) addService(r *rowReader, s *Service) {
	if b.once(r, ServiceKey(s.Name)) {
		b.table.Services[s.Name] = s
	}
}

func (b *builder) addEpoch(r *rowReader) {
	v := r.cell(colName)
	n, err := strconv.ParseUint(v, 10, 64)
	if err != nil || n > maxEpoch {
		r.fault(colName, v, "a whole number from 0 to "+strconv.Itoa(maxEpoch))
		return
	}
	if b.once(r, EpochKey) {
		b.table.Epoch = n
	}
}

// finish checks what needs the whole table.
func (b *builder) finish(faults *Faults) {
	for a, at := range b.places {
		for _, s := range a.Services {
			if _, ok := b.table.Services[s]; !ok {
				faults.add(Fault{Page: at.page, Row: at.row, Column: colServices, Value: s, Allowed: "the name of a service row"})
			}
		}
	}
	faults.sort()
}

func readAccount(r *rowReader) *Account {
	return &Account{
		Name:            r.name(),
		Weight:          r.float(colWeight, 1, maxWeight, false),
		MaxRunning:      r.integer(colMaxRunning, 0, 0, maxRunningBound),
		TokensPerSecond: r.float(colTokens, 0, maxTokenRate, true),
		Priority:        r.integer(colPriority, 0, -maxPriority, maxPriority),
		KeyHashes:       r.keys(),
		Services:        r.list(colServices, maxServices),
	}
}

func readService(r *rowReader) *Service {
	s := &Service{
		Name:       r.name(),
		Type:       choice(r, colType, ServiceGeneration, ServiceGeneration, ServiceLookup, ServiceOnce),
		MaxWait:    r.milliseconds(colMaxWait, defaultMaxWait, maxWaitBound),
		QueueLimit: r.integer(colQueueLimit, defaultQueue, 0, queueLimitBound),
	}
	if s.Type == ServiceGeneration {
		s.Delivery = choice(r, colDelivery, DeliveryStream, DeliveryStream, DeliveryBuffered)
		s.MaxTokens = r.integer(colMaxTokens, defaultMaxTokens, 1, maxTokensBound)
		return s
	}
	for _, c := range []string{colDelivery, colMaxTokens} {
		if v := r.cell(c); v != "" {
			r.fault(c, v, "empty for a service of type "+string(s.Type))
		}
	}
	return s
}
