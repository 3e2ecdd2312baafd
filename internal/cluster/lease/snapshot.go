package lease

import (
	"fmt"
	"maps"
	"slices"

	"github.com/vmihailenco/msgpack/v5"
)

// tableSnapshot is the stored form of a table in a snapshot of the log.
type tableSnapshot struct {
	Leases    []Lease          `msgpack:"Leases"` // sorted by ID
	LastToken Token            `msgpack:"Token"`
	Now       Millis           `msgpack:"Now"`
	Abandoned []AbandonedLease `msgpack:"Ended"`
}

// TokenError reports a snapshot with a lease whose token exceeds the snapshot's token counter. A table restored from
// that snapshot would grant the token a second time.
type TokenError struct {
	ID    ID
	Token Token
}

func (e *TokenError) Error() string {
	return fmt.Sprintf("restore lease table: %s has token %d, above the highest granted token", e.ID, e.Token)
}

// Encode returns the stored form of the table, which Restore reads.
func (t *Table) Encode() ([]byte, error) {
	snapshot := tableSnapshot{LastToken: t.lastToken, Now: t.now, Abandoned: t.abandoned}
	for _, id := range slices.Sorted(maps.Keys(t.leases)) {
		snapshot.Leases = append(snapshot.Leases, *t.leases[id])
	}
	raw, err := msgpack.Marshal(&snapshot)
	if err != nil {
		return nil, fmt.Errorf("encode lease table: %w", err)
	}
	return raw, nil
}

// Restore replaces the table's content with that of a table encoded by Encode. After an error the table must not be
// used; a [*TokenError] means that the snapshot has a token above its counter.
func (t *Table) Restore(raw []byte) error {
	var snapshot tableSnapshot
	if err := msgpack.Unmarshal(raw, &snapshot); err != nil {
		return fmt.Errorf("decode lease table: %w", err)
	}
	*t = Table{
		leases: map[ID]*Lease{}, lastToken: snapshot.LastToken, now: snapshot.Now, abandoned: snapshot.Abandoned,
	}
	for _, l := range snapshot.Leases {
		if l.Token > t.lastToken {
			return &TokenError{ID: l.ID, Token: l.Token}
		}
		t.leases[l.ID] = &l
	}
	return nil
}
