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

// storeReadRequest is a get, a list or a watch. Name is a key for a get, else a
// prefix; After and Wait are for a watch.
type storeReadRequest struct {
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

// storeCommitRequest is a keyvalue.Change whose keys have no lease.
type storeCommitRequest struct {
	Conditions []storeItem `cbor:"1,keyasint,omitempty"`
	Puts       []storeItem `cbor:"2,keyasint,omitempty"`
	Deletes    []string    `cbor:"3,keyasint,omitempty"`
}

// storeResponse holds items and the revision at which they were read, or flags
// one of the errors that the keyvalue package defines.
type storeResponse struct {
	Items       []storeItem       `cbor:"1,keyasint,omitempty"`
	AsOf        keyvalue.Revision `cbor:"2,keyasint"`
	Conflict    bool              `cbor:"3,keyasint,omitempty"`
	HistoryLost bool              `cbor:"4,keyasint,omitempty"`
}

// handleStore registers the procedures for entries that cannot reach the store
// themselves.
func handleStore(mux *http.ServeMux, store *keyvalue.Store) {
	handle(mux, stepStoreGet, func(ctx context.Context, r storeReadRequest) (response storeResponse, err error) {
		item, found, asOf, err := store.Get(ctx, r.Name)
		if found {
			response.Items = []storeItem{storeItem(item)}
		}
		response.AsOf = asOf
		return response, err
	}, forPlanner)
	handle(mux, stepStoreList, func(ctx context.Context, r storeReadRequest) (storeResponse, error) {
		items, asOf, err := store.List(ctx, r.Name)
		return storeResponse{Items: toStoreItems(items), AsOf: asOf}, err
	}, forPlanner)
	handle(mux, stepStoreWatch, func(ctx context.Context, r storeReadRequest) (storeResponse, error) {
		items, asOf, err := store.Watch(ctx, r.Name, r.After, r.Wait)
		if errors.Is(err, keyvalue.ErrHistoryLost) {
			return storeResponse{HistoryLost: true}, nil
		}
		return storeResponse{Items: toStoreItems(items), AsOf: asOf}, err
	}, forPlanner)
	handle(mux, stepStoreCommit, func(ctx context.Context, c storeCommitRequest) (storeResponse, error) {
		revision, err := store.Commit(ctx, c.change())
		var conflict *keyvalue.ConflictError
		if errors.As(err, &conflict) {
			return storeResponse{Conflict: true, Items: toStoreItems(conflict.Current)}, nil
		}
		return storeResponse{AsOf: revision}, err
	}, forPlanner)
}

func toStoreItems(items []keyvalue.Item) (wire []storeItem) {
	for _, item := range items {
		wire = append(wire, storeItem(item))
	}
	return wire
}

func (r storeResponse) items() (items []keyvalue.Item) {
	for _, item := range r.Items {
		items = append(items, keyvalue.Item(item))
	}
	return items
}

func newStoreCommitRequest(c keyvalue.Change) (wire storeCommitRequest) {
	for _, condition := range c.Conditions {
		wire.Conditions = append(wire.Conditions, storeItem{Key: condition.Key, Revision: condition.Revision})
	}
	for _, put := range c.Puts {
		wire.Puts = append(wire.Puts, storeItem{Key: put.Key, Value: put.Value})
	}
	wire.Deletes = c.Deletes
	return wire
}

func (c storeCommitRequest) change() keyvalue.Change {
	change := keyvalue.Change{Deletes: c.Deletes}
	for _, condition := range c.Conditions {
		change.Conditions = append(change.Conditions, keyvalue.Condition{Key: condition.Key, Revision: condition.Revision})
	}
	for _, put := range c.Puts {
		change.Puts = append(change.Puts, keyvalue.Put{Key: put.Key, Value: put.Value})
	}
	return change
}

// StoreClient calls the store through other entries; it is safe for concurrent use.
type StoreClient struct {
	relays *keyvalue.Relays

	get    procedure[storeReadRequest, storeResponse]
	list   procedure[storeReadRequest, storeResponse]
	watch  procedure[storeReadRequest, storeResponse]
	commit procedure[storeCommitRequest, storeResponse]
}

// NewStoreClient returns a StoreClient that sends its calls over the transport client.
func NewStoreClient(client *transport.Client, relays *keyvalue.Relays) *StoreClient {
	h := transport.HTTPClient{Client: client}
	return &StoreClient{
		relays: relays,
		get:    newProcedure[storeReadRequest, storeResponse](h, stepStoreGet),
		list:   newProcedure[storeReadRequest, storeResponse](h, stepStoreList),
		watch:  newProcedure[storeReadRequest, storeResponse](h, stepStoreWatch),
		commit: newProcedure[storeCommitRequest, storeResponse](h, stepStoreCommit),
	}
}

// Store returns a store without the lease calls, which stay nil.
func (c *StoreClient) Store() *keyvalue.Store {
	return &keyvalue.Store{
		Get: func(ctx context.Context, key string) (item keyvalue.Item, found bool, asOf keyvalue.Revision, err error) {
			response, err := callStore(ctx, c, c.get, storeReadRequest{Name: key})
			if len(response.Items) > 0 {
				item, found = keyvalue.Item(response.Items[0]), true
			}
			return item, found, response.AsOf, err
		},
		List: func(ctx context.Context, prefix string) ([]keyvalue.Item, keyvalue.Revision, error) {
			response, err := callStore(ctx, c, c.list, storeReadRequest{Name: prefix})
			return response.items(), response.AsOf, err
		},
		Watch: func(ctx context.Context, prefix string, after keyvalue.Revision, wait time.Duration) ([]keyvalue.Item, keyvalue.Revision, error) {
			response, err := callStore(ctx, c, c.watch, storeReadRequest{Name: prefix, After: after, Wait: wait})
			if err == nil && response.HistoryLost {
				err = keyvalue.ErrHistoryLost
			}
			return response.items(), response.AsOf, err
		},
		Commit: func(ctx context.Context, change keyvalue.Change) (keyvalue.Revision, error) {
			response, err := callStore(ctx, c, c.commit, newStoreCommitRequest(change))
			if err == nil && response.Conflict {
				err = &keyvalue.ConflictError{Current: response.items()}
			}
			return response.AsOf, err
		},
	}
}

// callStore calls the store through the first entry that reaches it. It tries the next one
// only if the call surely had no effect.
func callStore[Request any](ctx context.Context, c *StoreClient, p procedure[Request, storeResponse], request Request) (response storeResponse, err error) {
	err = state.NewStepError(p.step, netip.AddrPort{}, state.HomeUnreachable, errNoRelay)
	for i, entry := range c.relays.Candidates() {
		response, err = callEntry(ctx, p, entry, request, i > 0)
		if !c.relays.Record(entry, err) || ctx.Err() != nil {
			return response, err
		}
	}
	return storeResponse{}, err
}

// nextEntryTimeout bounds a read of a key or a change through any entry but the first: an address may be that of
// an instance that is gone, where connections hang, and the caller waits meanwhile.
const nextEntryTimeout = 500 * time.Millisecond

func callEntry[Request any](ctx context.Context, p procedure[Request, storeResponse], entry netip.AddrPort, request Request, bounded bool) (storeResponse, error) {
	if bounded && p.step != stepStoreWatch && p.step != stepStoreList {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, nextEntryTimeout)
		defer cancel()
	}
	return p.call(ctx, entry, request)
}

// errNoRelay means that no other entry is known.
var errNoRelay = errors.New("no other entry is known")
