// Package operator implements the HTTP interface of a node for operators: reading
// and changing documents, status, draining, metrics and state dumps. It also
// holds the client that the command line uses.
package operator

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/common/meters"
	"github.com/hyssopladder/hyssopladder/common/problem"
	"github.com/hyssopladder/hyssopladder/common/wire"
	"github.com/hyssopladder/hyssopladder/dispatch"
	"github.com/hyssopladder/hyssopladder/document"
	"github.com/hyssopladder/hyssopladder/formats"
	"github.com/hyssopladder/hyssopladder/gossip"
	"github.com/hyssopladder/hyssopladder/keeper"
	"github.com/hyssopladder/hyssopladder/member"
	"github.com/hyssopladder/hyssopladder/result"
	"github.com/hyssopladder/hyssopladder/service"
)

// Documents applies document changes. Its errors are *result.Error.
type Documents interface {
	Apply(ctx context.Context, c document.Change) (document.Reply, error)
}

// Entry is what the interface needs from the entry role.
type Entry interface {
	Services(ctx context.Context) []dispatch.ServiceState
	InForce(name string) uint64
	Ready(ctx context.Context) bool
}

// changeIDHeader carries the ID of a change, which identifies a resent one.
const changeIDHeader = "X-Change-Id"

// API handles the requests of operators. It has no entry and no keeper on a node without these
// roles.
type API struct {
	node      member.NodeInfo
	gossip    *gossip.Host
	documents Documents
	entry     Entry
	keeper    *keeper.Keeper
	metrics   metrics.Registry
	dump      func() ([]byte, error)
	drain     func()
}

// Mux registers handlers by pattern, as http.ServeMux does.
type Mux interface {
	Handle(pattern string, h http.Handler)
}

func (a *API) register(mux Mux) {
	handle := func(pattern string, f func(r *http.Request) (any, error)) {
		mux.Handle(pattern, jsonHandler(f))
	}
	handle("PUT /operator/documents/{name}", a.put)
	handle("GET /operator/documents/{name}", a.get)
	handle("GET /operator/documents", a.list)
	handle("GET /operator/nodes", a.nodes)
	handle("GET /operator/status", a.status)
	handle("GET /operator/inforce/{name}", a.inForce)
	handle("POST /operator/drain", a.startDrain)
	mux.Handle("GET /debug/dump", http.HandlerFunc(a.writeDump))
	mux.Handle("GET /metrics", http.HandlerFunc(a.writeMetrics))
}

// jsonHandler answers with the result of f as JSON, or with its error as a problem.
func jsonHandler(f func(r *http.Request) (any, error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		v, err := f(r)
		if err != nil {
			problem.Write(w, result.From(err))
			return
		}
		if tag, ok := v.(revisioned); ok {
			w.Header().Set("ETag", strconv.Quote(strconv.FormatUint(tag.revision(), 10)))
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(v)
	})
}

// revisioned is an answer whose revision is sent as its ETag.
type revisioned interface{ revision() uint64 }

// StoredDocument is the answer to a read or, without the document, to an accepted
// write.
type StoredDocument struct {
	Revision uint64            `json:"revision"`
	Document *service.Document `json:"document,omitempty"`
}

func (s StoredDocument) revision() uint64 { return s.Revision }

func (a *API) put(r *http.Request) (any, error) {
	body, err := io.ReadAll(io.LimitReader(r.Body, service.MaxDocumentBytes+1))
	if err != nil {
		return nil, result.New(result.BadRequest, result.RanNo, "body: %v", err)
	}
	d, err := service.ParseINI(body)
	if err != nil {
		return nil, result.New(result.DocumentInvalid, result.RanNo, "%v", err)
	}
	if d.Name != r.PathValue("name") {
		return nil, result.New(result.DocumentInvalid, result.RanNo, "[service] name: found %q, want %q as in the path", d.Name, r.PathValue("name"))
	}
	c := document.Change{ID: r.Header.Get(changeIDHeader), Document: *d}
	if err := readPrecondition(r, &c); err != nil {
		return nil, err
	}
	reply, err := a.documents.Apply(r.Context(), c)
	if err != nil {
		return nil, err
	}
	switch reply.Code {
	case 0:
		return StoredDocument{Revision: reply.Revision}, nil
	case result.RevisionConflict:
		return nil, result.New(reply.Code, result.RanNo, "the document %s has revision %d", d.Name, reply.Revision)
	default:
		return nil, result.New(reply.Code, result.RanNo, "the change ID was used for another change")
	}
}

// readPrecondition sets the revision that the change replaces, from If-Match.
func readPrecondition(r *http.Request, c *document.Change) error {
	switch match := r.Header.Get("If-Match"); match {
	case "":
		// No precondition means that the document must be new.
	case "*":
		c.Any = true
	default:
		n, err := strconv.ParseUint(strings.Trim(match, `"`), 10, 64)
		if err != nil {
			return result.New(result.BadRequest, result.RanNo, "If-Match: found %s, want a revision or *", match)
		}
		c.Expected = n
	}
	if err := c.Check(); err != nil {
		return result.New(result.BadRequest, result.RanNo, "%v", err)
	}
	return nil
}

// eachDocument calls f with each document that the node knows. A document that
// can't be decoded is left out and reported as the error.
func (a *API) eachDocument(ctx context.Context, f func(service.Accepted)) error {
	var decodeErr error
	ok := a.gossip.View(ctx, func(now clock.Instant, t *member.Table) {
		for _, r := range t.Live(now, member.Document) {
			var d service.Accepted
			if err := wire.Decode(r.Payload, &d); err != nil {
				decodeErr = errors.Wrap(err, r.ID)
				continue
			}
			f(d)
		}
	})
	if !ok {
		return result.New(result.Internal, result.RanNo, "the node is stopping")
	}
	return decodeErr
}

func (a *API) get(r *http.Request) (any, error) {
	var found *service.Accepted
	err := a.eachDocument(r.Context(), func(d service.Accepted) {
		if d.Document.Name == r.PathValue("name") {
			found = &d
		}
	})
	if err != nil {
		return nil, err
	}
	if found == nil {
		return nil, result.New(result.DocumentNotFound, result.RanNo, "no document %q", r.PathValue("name"))
	}
	return StoredDocument{Revision: found.Revision, Document: &found.Document}, nil
}

func (a *API) list(r *http.Request) (any, error) {
	documents := []StoredDocument{}
	err := a.eachDocument(r.Context(), func(d service.Accepted) {
		documents = append(documents, StoredDocument{Revision: d.Revision, Document: &d.Document})
	})
	return documents, err
}

func (a *API) nodes(r *http.Request) (any, error) { return a.gossip.Nodes(r.Context()), nil }

// Status is a node's view of its services.
type Status struct {
	Instance string                  `json:"instance"`
	Zone     string                  `json:"zone"`
	Ready    bool                    `json:"ready"`
	Nodes    []member.NodeInfo       `json:"nodes"`
	Services []dispatch.ServiceState `json:"services"`
	// Waiting says what the node's keeper waits for, while it belongs to no cluster.
	Waiting string `json:"waiting,omitempty"`
}

func (a *API) status(r *http.Request) (any, error) {
	s := Status{Instance: a.node.Name, Zone: a.node.Zone, Nodes: a.gossip.Nodes(r.Context())}
	if a.entry != nil {
		s.Ready = a.entry.Ready(r.Context())
		s.Services = a.entry.Services(r.Context())
	}
	if a.keeper != nil {
		s.Waiting = a.keeper.Status(r.Context()).Waiting
	}
	return s, nil
}

// InForce is the revision of a document that is in force on a node, 0 if none is.
type InForce struct {
	Revision uint64 `json:"revision"`
}

func (a *API) inForce(r *http.Request) (any, error) {
	if a.entry != nil {
		return InForce{a.entry.InForce(r.PathValue("name"))}, nil
	}
	var revision uint64
	err := a.eachDocument(r.Context(), func(d service.Accepted) {
		if d.Document.Name == r.PathValue("name") {
			revision = d.Revision
		}
	})
	return InForce{revision}, err
}

func (a *API) startDrain(*http.Request) (any, error) {
	a.drain()
	return map[string]string{"draining": a.node.Name}, nil
}

func (a *API) writeDump(w http.ResponseWriter, _ *http.Request) {
	data, err := a.dump()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data)
}

// writeMetrics writes every metric as text.
func (a *API) writeMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	meters.WriteText(w, a.metrics)
	formats.WriteMetrics(w)
}
