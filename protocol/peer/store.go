package peer

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"comfreystream/coordination/keyvalue"
	"comfreystream/state"
	"comfreystream/transport"
)

const (
	stepStoreGet    = "storeGet"
	stepStoreList   = "storeList"
	stepStoreWatch  = "storeWatch"
	stepStoreCommit = "storeCommit"
)

// storeQuery names a key or a prefix; After and Wait belong to a watch.
type storeQuery struct {
	Name  string            `cbor:"1,keyasint"`
	After keyvalue.Revision `cbor:"2,keyasint,omitempty"`
	Wait  time.Duration     `cbor:"3,keyasint,omitempty"`
}

type storeItem struct {
	Key      string            `cbor:"1,keyasint"`
	Value    []byte            `cbor:"2,keyasint,omitempty"`
	Revision keyvalue.Revision `cbor:"3,keyasint"`
	Lease    keyvalue.LeaseID  `cbor:"4,keyasint,omitempty"`
	Deleted  bool              `cbor:"5,keyasint,omitempty"`
}

// storeChange is a change; none of its keys goes with a lease.
type storeChange struct {
	Conditions []storeItem `cbor:"1,keyasint,omitempty"`
	Puts       []storeItem `cbor:"2,keyasint,omitempty"`
	Deletes    []string    `cbor:"3,keyasint,omitempty"`
}

// storeAnswer holds items and the revision they stand for, or says which of
// the store's own errors came instead.
type storeAnswer struct {
	Items       []storeItem       `cbor:"1,keyasint,omitempty"`
	AsOf        keyvalue.Revision `cbor:"2,keyasint"`
	Conflict    bool              `cbor:"3,keyasint,omitempty"`
	HistoryLost bool              `cbor:"4,keyasint,omitempty"`
}

// handleStore serves an entry that does not reach the store itself.
func handleStore(mux *http.ServeMux, store *keyvalue.Store) {
	handle(mux, stepStoreGet, func(ctx context.Context, q storeQuery) (answer storeAnswer, err error) {
		item, found, asOf, err := store.Get(ctx, q.Name)
		if found {
			answer.Items = []storeItem{storeItem(item)}
		}
		answer.AsOf = asOf
		return answer, err
	})
	handle(mux, stepStoreList, func(ctx context.Context, q storeQuery) (storeAnswer, error) {
		items, asOf, err := store.List(ctx, q.Name)
		return storeAnswer{Items: wireItems(items), AsOf: asOf}, err
	})
	handle(mux, stepStoreWatch, func(ctx context.Context, q storeQuery) (storeAnswer, error) {
		items, asOf, err := store.Watch(ctx, q.Name, q.After, q.Wait)
		if errors.Is(err, keyvalue.ErrHistoryLost) {
			return storeAnswer{HistoryLost: true}, nil
		}
		return storeAnswer{Items: wireItems(items), AsOf: asOf}, err
	})
	handle(mux, stepStoreCommit, func(ctx context.Context, c storeChange) (storeAnswer, error) {
		revision, err := store.Commit(ctx, c.change())
		var conflict *keyvalue.ConflictError
		if errors.As(err, &conflict) {
			return storeAnswer{Conflict: true, Items: wireItems(conflict.Current)}, nil
		}
		return storeAnswer{AsOf: revision}, err
	})
}

func wireItems(items []keyvalue.Item) (wire []storeItem) {
	for _, item := range items {
		wire = append(wire, storeItem(item))
	}
	return wire
}

func (a storeAnswer) items() (items []keyvalue.Item) {
	for _, item := range a.Items {
		items = append(items, keyvalue.Item(item))
	}
	return items
}

func newStoreChange(c keyvalue.Change) (wire storeChange) {
	for _, condition := range c.Conditions {
		wire.Conditions = append(wire.Conditions, storeItem{Key: condition.Key, Revision: condition.Revision})
	}
	for _, put := range c.Puts {
		wire.Puts = append(wire.Puts, storeItem{Key: put.Key, Value: put.Value})
	}
	wire.Deletes = c.Deletes
	return wire
}

func (c storeChange) change() keyvalue.Change {
	change := keyvalue.Change{Deletes: c.Deletes}
	for _, condition := range c.Conditions {
		change.Conditions = append(change.Conditions, keyvalue.Condition{Key: condition.Key, Revision: condition.Revision})
	}
	for _, put := range c.Puts {
		change.Puts = append(change.Puts, keyvalue.Put{Key: put.Key, Value: put.Value})
	}
	return change
}

// StoreClient reaches the store through another entry; it is safe for several goroutines.
type StoreClient struct {
	// Entry returns the entry to ask, or why there is none.
	Entry func() (netip.AddrPort, error)

	get    procedure[storeQuery, storeAnswer]
	list   procedure[storeQuery, storeAnswer]
	watch  procedure[storeQuery, storeAnswer]
	commit procedure[storeChange, storeAnswer]
}

// NewStoreClient returns a client that uses the connections of the transport's client.
func NewStoreClient(client *transport.Client, entry func() (netip.AddrPort, error)) *StoreClient {
	h := transport.HTTPClient{Client: client}
	return &StoreClient{
		Entry:  entry,
		get:    newProcedure[storeQuery, storeAnswer](h, stepStoreGet),
		list:   newProcedure[storeQuery, storeAnswer](h, stepStoreList),
		watch:  newProcedure[storeQuery, storeAnswer](h, stepStoreWatch),
		commit: newProcedure[storeChange, storeAnswer](h, stepStoreCommit),
	}
}

// Calls returns the store without its leases.
func (c *StoreClient) Calls() *keyvalue.Store {
	return &keyvalue.Store{
		Get: func(ctx context.Context, key string) (item keyvalue.Item, found bool, asOf keyvalue.Revision, err error) {
			answer, err := askStore(ctx, c, c.get, storeQuery{Name: key})
			if len(answer.Items) > 0 {
				item, found = keyvalue.Item(answer.Items[0]), true
			}
			return item, found, answer.AsOf, err
		},
		List: func(ctx context.Context, prefix string) ([]keyvalue.Item, keyvalue.Revision, error) {
			answer, err := askStore(ctx, c, c.list, storeQuery{Name: prefix})
			return answer.items(), answer.AsOf, err
		},
		Watch: func(ctx context.Context, prefix string, after keyvalue.Revision, wait time.Duration) ([]keyvalue.Item, keyvalue.Revision, error) {
			answer, err := askStore(ctx, c, c.watch, storeQuery{Name: prefix, After: after, Wait: wait})
			if err == nil && answer.HistoryLost {
				err = keyvalue.ErrHistoryLost
			}
			return answer.items(), answer.AsOf, err
		},
		Commit: func(ctx context.Context, change keyvalue.Change) (keyvalue.Revision, error) {
			answer, err := askStore(ctx, c, c.commit, newStoreChange(change))
			if err == nil && answer.Conflict {
				err = &keyvalue.ConflictError{Current: answer.items()}
			}
			return answer.AsOf, err
		},
	}
}

func askStore[Request any](ctx context.Context, c *StoreClient, p procedure[Request, storeAnswer], request Request) (storeAnswer, error) {
	entry, err := c.Entry()
	if err != nil {
		return storeAnswer{}, state.NewStepError(p.step, entry, state.HomeUnreachable, err)
	}
	return p.ask(ctx, entry, request)
}
