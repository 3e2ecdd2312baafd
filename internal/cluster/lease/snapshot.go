package lease

import (
	"fmt"
	"maps"
	"slices"

	"github.com/vmihailenco/msgpack/v5"
)

// tableSnapshot is a table as stored in a snapshot of the log.
type tableSnapshot struct {
	Leases    []Lease     `msgpack:"Leases"` // by ID
	Token     Token       `msgpack:"Token"`
	Now       Millis      `msgpack:"Now"`
	Abandoned []Abandoned `msgpack:"Ended"`
}

// TokenError is a snapshot with a lease under a token that the snapshot's counter has not reached: restored, the table
// would grant that token a second time.
type TokenError struct {
	ID    ID
	Token Token
}

func (e *TokenError) Error() string {
	return fmt.Sprintf("leases: %s has token %d, above all that were given", e.ID, e.Token)
}

// Encode returns the table as Restore reads it.
func (t *Table) Encode() ([]byte, error) {
	all := tableSnapshot{Token: t.lastToken, Now: t.now, Abandoned: t.abandoned}
	for _, id := range slices.Sorted(maps.Keys(t.leases)) {
		all.Leases = append(all.Leases, *t.leases[id])
	}
	raw, err := msgpack.Marshal(&all)
	if err != nil {
		return nil, fmt.Errorf("leases: %w", err)
	}
	return raw, nil
}

// Restore replaces the table's content by what Encode returned. After an error the table is not to be used.
func (t *Table) Restore(raw []byte) error {
	var all tableSnapshot
	if err := msgpack.Unmarshal(raw, &all); err != nil {
		return fmt.Errorf("leases: %w", err)
	}
	*t = Table{leases: map[ID]*Lease{}, lastToken: all.Token, now: all.Now, abandoned: all.Abandoned}
	for _, l := range all.Leases {
		if l.Token > t.lastToken {
			return &TokenError{ID: l.ID, Token: l.Token}
		}
		t.leases[l.ID] = &l
	}
	return nil
}
