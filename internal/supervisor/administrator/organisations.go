package administrator

import (
	"context"
	"mime"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"banyanquay/internal/describer"
	"banyanquay/internal/provider"
	"banyanquay/internal/refuser"
	"banyanquay/internal/responder"
	"banyanquay/internal/supervisor/follower"
)

// maxNoteBytes is the maximum length of the note that a change carries in the
// log.
const maxNoteBytes = 512

// OrganisationSummary is an entry of the list of organisations.
type OrganisationSummary struct {
	Name     string             `json:"name"`
	Revision describer.Revision `json:"revision"`
	Model    string             `json:"model,omitempty"`
	Share    float64            `json:"share"`
}

// OrganisationList is the answer to GET /organisations.
type OrganisationList struct {
	Organisations []OrganisationSummary `json:"organisations"`
	Applied       provider.Offset       `json:"applied"`
	// StaleMillis is for how long the node may have missed changes, in
	// milliseconds.
	StaleMillis int64 `json:"stale_millis"`
}

// OrganisationDocument is the answer to GET /organisations/{name}.
type OrganisationDocument struct {
	Revision    describer.Revision `json:"revision"`
	Template    describer.Template `json:"template"`
	StaleMillis int64              `json:"stale_millis"`
}

// ChangeResult is the answer to an accepted PUT or DELETE.
type ChangeResult struct {
	ID       string             `json:"id"`
	Revision describer.Revision `json:"revision"`
	// Offset is the change's position in the stream. The change is in force on
	// a node whose applied offset is larger.
	Offset provider.Offset `json:"offset"`
}

// HistoryList is the answer to GET /organisations/{name}/history.
type HistoryList struct {
	Changes []follower.AcceptedChange `json:"changes"`
}

// list answers with the organisations in force.
func (a *Administrator) list(context.Context, *http.Request) (OrganisationList, error) {
	v, err := a.readyView()
	if err != nil {
		return OrganisationList{}, err
	}
	list := OrganisationList{Organisations: []OrganisationSummary{}, Applied: v.Applied(), StaleMillis: a.staleMillis(v)}
	for _, o := range v.Organisations() {
		list.Organisations = append(list.Organisations, OrganisationSummary{
			Name: o.Template.Name, Revision: o.Revision, Model: o.Template.Model.Name, Share: o.Template.Share,
		})
	}
	return list, nil
}

// staleMillis returns for how long a view may have missed changes, in
// milliseconds.
func (a *Administrator) staleMillis(v follower.View) int64 {
	return v.Staleness(a.cfg.Now()).Round(time.Millisecond).Milliseconds()
}

// get answers with one organisation as published.
func (a *Administrator) get(_ context.Context, r *http.Request, _ responder.Empty) (responder.Answer[OrganisationDocument], error) {
	var none responder.Answer[OrganisationDocument]
	v, err := a.readyView()
	if err != nil {
		return none, err
	}
	t, rev, ok := v.Published(mux.Vars(r)["name"])
	if !ok {
		return none, notFound(r, rev)
	}
	return responder.Answer[OrganisationDocument]{
		Body: OrganisationDocument{Revision: rev, Template: t, StaleMillis: a.staleMillis(v)},
		ETag: entityTag(rev),
	}, nil
}

// notFound returns the refusal for an unknown or removed organisation.
func notFound(r *http.Request, rev describer.Revision) error {
	name := mux.Vars(r)["name"]
	if rev > 0 {
		return refuser.New(refuser.NoSuchOrg, "%s was removed at revision %d; publish from that base to create it again", name, rev)
	}
	return refuser.New(refuser.NoSuchOrg, "%s was never published", name)
}

// history answers with the newest changes of an organisation.
func (a *Administrator) history(_ context.Context, r *http.Request) (HistoryList, error) {
	v, err := a.readyView()
	if err != nil {
		return HistoryList{}, err
	}
	changes := v.History(mux.Vars(r)["name"])
	if len(changes) == 0 {
		return HistoryList{}, notFound(r, 0)
	}
	return HistoryList{Changes: changes}, nil
}

// readTemplate decodes a template according to its content type.
func (a *Administrator) readTemplate(r *http.Request) (describer.Template, error) {
	data, err := a.responder.Body(r, maxTemplateBytes)
	if err != nil {
		return describer.Template{}, err
	}
	kind, _, _ := mime.ParseMediaType(r.Header.Get("Content-Type"))
	parse := describer.ParseJSON
	switch kind {
	case "application/json":
	case "application/toml":
		parse = describer.ParseTOML
	default:
		return describer.Template{}, refuser.New(refuser.BadRequest,
			"Content-Type: %q is neither application/json nor application/toml", kind)
	}
	t, faults := parse(data)
	if len(faults) > 0 {
		return t, refuser.New(refuser.BadTemplate, "%d faults", len(faults)).WithFaults(faults)
	}
	return t, nil
}

// put publishes a template.
func (a *Administrator) put(ctx context.Context, r *http.Request, t describer.Template) (responder.Answer[ChangeResult], error) {
	return a.change(ctx, r, follower.Change{Template: t})
}

// remove publishes a removal.
func (a *Administrator) remove(ctx context.Context, r *http.Request, _ responder.Empty) (responder.Answer[ChangeResult], error) {
	return a.change(ctx, r, follower.Change{Remove: true})
}

// change publishes a change based on the revision in the request's header.
func (a *Administrator) change(
	ctx context.Context, r *http.Request, change follower.Change,
) (responder.Answer[ChangeResult], error) {
	var none responder.Answer[ChangeResult]
	v, err := a.readyView()
	if err != nil {
		return none, err
	}
	change.Organisation = mux.Vars(r)["name"]
	change.Operator = operatorName(ctx)
	change.Note = r.Header.Get("Note")
	if len(change.Note) > maxNoteBytes {
		return none, refuser.New(refuser.BadRequest, "Note is longer than %d bytes", maxNoteBytes)
	}
	_, current, live := v.Published(change.Organisation)
	if change.Remove && !live {
		return none, notFound(r, current)
	}
	if change.Base, err = baseRevision(r, current, live); err != nil {
		return none, err
	}
	out, err := a.cfg.Publish(ctx, change)
	if err != nil {
		return none, err
	}
	return responder.Answer[ChangeResult]{
		Body: ChangeResult{ID: out.ID, Revision: out.Revision, Offset: out.Offset},
		ETag: entityTag(out.Revision),
	}, nil
}

// restore puts this node's last known configuration in force. It is refused if
// another node is known to have applied more of the stream.
func (a *Administrator) restore(ctx context.Context, _ *http.Request) (ChangeResult, error) {
	own := a.cfg.View().Applied()
	for _, n := range a.cfg.Nodes() {
		if n.Applied > own {
			return ChangeResult{}, refuser.New(refuser.Conflict,
				"node %s has applied offset %d and this node %d; restore from that node", n.Address, n.Applied, own)
		}
	}
	out, err := a.cfg.Restore(ctx)
	return ChangeResult{ID: out.ID, Revision: out.Revision, Offset: out.Offset}, err
}

// baseRevision reads the base revision from If-Match or If-None-Match. A change
// without either is refused, as it could overwrite changes that its author has
// never seen.
func baseRevision(r *http.Request, current describer.Revision, live bool) (describer.Revision, error) {
	match, none := r.Header.Get("If-Match"), r.Header.Get("If-None-Match")
	switch {
	case match != "" && none == "":
		text := strings.Trim(match, `"`)
		base, err := strconv.ParseUint(text, 10, 64)
		if err != nil || match != `"`+text+`"` {
			return 0, refuser.New(refuser.BadRequest, `If-Match: %s is not a revision such as "7"`, match)
		}
		return describer.Revision(base), nil
	case match == "" && none == "*":
		if live {
			return 0, refuser.New(refuser.Conflict, "the organisation exists at revision %d", current)
		}
		return current, nil
	default:
		return 0, refuser.New(refuser.BadRequest, `send either If-Match: "REVISION" or If-None-Match: *`)
	}
}

// formatRevision returns a revision in decimal digits.
func formatRevision(rev describer.Revision) string {
	return strconv.FormatUint(uint64(rev), 10)
}
